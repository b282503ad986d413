"""Check that learned values do no harm where they are old, absurd or of few runs."""

from __future__ import annotations

import math
from datetime import timedelta

import cbor2
import pytest
from tests.pool.learned import NOW, value
from tests.pool.test_durations import MINIONS, QUEUE, run
from tests.pool.test_placement import minion, ms, step

from brasstray.batch.ids import FencingToken
from brasstray.peer.pool_messages import decode_frame
from brasstray.pool.durations import Durations
from brasstray.pool.learned_encoding import decode_values
from brasstray.pool.learned_merge import HALF_LIFE, start_values
from brasstray.pool.learned_table import MAX_QUEUES, LearnedTable, best_remote
from brasstray.pool.learned_values import TASK_CPU, LearnedValues
from brasstray.pool.moving_ratio import MovingRatio
from brasstray.pool.placement import choose_minion
from brasstray.pool.task_size import TaskSize


class Times:
    """Hold the time at which runs are observed."""

    def __init__(self):
        self.now = NOW

    def __call__(self):
        return self.now


def nested(depth, width):
    item = [0]
    for _ in range(depth):
        item = [item] * width
    return item


def cyclic():
    item = []
    item.append(item)
    return item


@pytest.mark.parametrize(
    "item",
    [nested(300, 1), nested(40, 3), cyclic()],
    ids=["deep", "wide by shared references", "cyclic"],
)
def test_nested_value_is_named_in_short_time(item):
    """Guard against a report that stops the host that reads why it is invalid."""
    for encoded in (item, {"q": item}, {"q": {"bad": item}}):
        message = {"kind": "successors", "hosts": [], "learned": encoded}
        frame = cbor2.dumps([[message]], value_sharing=True)
        [received] = decode_frame(frame)
        read = decode_values(received.learned, NOW)
        assert read.values.count == 0
        assert len(read.problems[0]) < 300


def test_one_run_does_not_revive_the_count_of_a_value_that_is_long_unused():
    """Guard against a single run that tells other data centres it is twenty."""
    mean = MovingRatio(2.0, 20, NOW)
    mean.observe(1.0, 0.05, NOW + 6 * HALF_LIFE)
    assert mean.count <= 2


def test_count_of_a_value_that_is_used_each_minute_is_kept():
    """Guard against a queue that runs rarely and never counts as known."""
    mean = MovingRatio()
    for number in range(60):
        mean.observe(1.0, 0.05, NOW + timedelta(minutes=number))
    assert mean.count >= 10


@pytest.mark.parametrize(("own_runs", "ratio"), [(2, 1.64), (4, 1.47)])
def test_repeated_report_of_another_data_centre_counts_once(own_runs, ratio):
    """Guard against a value that is not more certain but told more often."""
    learner = Durations(1.0, Times())
    for _ in range(own_runs):
        run(learner, MINIONS[0], 1.0)
    for _ in range(30):
        learner.adopt_remote({QUEUE: value(2.0)})
    assert learner.ratio(step(), None, ()) == pytest.approx(ratio, rel=0.05)


def test_names_adopted_from_other_data_centres_are_bounded():
    """Guard against memory that grows with each name a faulty host makes up."""
    learner, table = Durations(1.0, Times()), LearnedTable()
    for number in range(40):
        names = {f"q{number}-{index}": value(2.0) for index in range(256)}
        table.record(LearnedValues(queues=names), FencingToken(1), "a")
        learner.adopt_remote(best_remote({"a": table}, NOW).queues)
    assert len(learner.learned.queues) <= MAX_QUEUES


def test_tasks_shorter_than_any_expected_duration_keep_a_finite_ratio():
    """Guard against a ratio near zero that a remote value turns into infinity.

    Runs take 1 ms, and no run is expected to take less than 5 ms.
    """
    times = Times()
    learner = Durations(1.0, times)
    task = step(estimate=60)
    for _ in range(30_000):
        learner.learn(task, MINIONS[0], learner.expected(task, MINIONS[0], ()), ms(1))
    times.now += 4 * HALF_LIFE
    learner.adopt_remote({QUEUE: value(2.0, now=times.now)})
    assert math.isfinite(learner.ratio(task, MINIONS[0], ()))
    assert learner.expected(task, MINIONS[0], ()) < timedelta(seconds=1)


@pytest.mark.parametrize("gap", [30, 120], ids=["half-a-minute", "two-minutes"])
def test_count_of_an_unused_value_fades_over_many_takeovers(gap):
    """Guard against takeovers in a row that keep a value certain for ever.

    In three hours without a run, a value of twenty runs is worth none.
    """
    started = LearnedValues({}, {QUEUE: value(4.0)})
    for second in range(gap, 3 * 3_600, gap):
        started = start_values(started, NOW + timedelta(seconds=second))
    assert QUEUE not in started.queues


def test_healed_minion_is_tried_again_though_others_are_free():
    """Guard against a minion that nobody uses because it was slow hours ago.

    One task at a time runs for six hours; each of two minions has room.
    """
    times = Times()
    learner = Durations(1.0, times)
    learner.adopt(LearnedValues({"healed": value(3.0)}))
    minions, used = [minion("healed"), minion("other")], set()
    for _ in range(360):
        times.now += timedelta(minutes=1)
        task = step(estimate=60)
        found = choose_minion(task.waiting[0], minions, learner, times.now)
        used.add(found.entry.id)
        run(learner, found.entry.key, 1.0)
    assert "healed" in used


@pytest.mark.parametrize(("age", "used"), [(0, True), (3_600, False)])
def test_remote_task_size_fades_and_is_not_passed_on_as_an_own_one(age, used):
    """Guard against two data centres that pass a size back and forth for ever."""
    size = TaskSize(lambda: NOW)
    assert bool(size.adopt_remote({TASK_CPU: value(6.8, age=age)})) is used
    assert [found.count for found in size.learned.values()] == [0] * used
