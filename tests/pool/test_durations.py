"""Check how durations are learned, and how adopted values are corrected."""

from __future__ import annotations

from datetime import timedelta
from random import Random

import pytest
from tests.pool.learned import NOW, value
from tests.pool.test_placement import minion, ms, step

from brasstray.batch.resources import Resources
from brasstray.job.ids import MinionKey
from brasstray.pool.durations import MAX_RATIO, Durations
from brasstray.pool.learned_values import NOTHING_LEARNED, TASK_CPU, LearnedValues
from brasstray.pool.load_sharing import SLOT_SIZE_MARGIN, LoadSharing
from brasstray.pool.placement import choose_minion
from brasstray.pool.task_registry import TaskRegistry
from brasstray.pool.task_size import TASK_SIZE_SMOOTHING, TaskSize

QUEUE = "q"
MINIONS = [MinionKey(f"m{number}") for number in range(8)]
MEAN_ESTIMATE = 60
# How far an adopted value may be off after RUNS_TO_CORRECT runs of its own.
TOLERANCE = 0.2
RUNS_TO_CORRECT = 10


def durations():
    return Durations(1.0, lambda: NOW)


def run(learner, key, true_ratio):
    step_tasks = step(estimate=MEAN_ESTIMATE)
    expected = learner.expected(step_tasks, key, ())
    learner.learn(step_tasks, key, expected, ms(MEAN_ESTIMATE) * true_ratio)


def adopting(minions=None, queues=None):
    learner = durations()
    learner.adopt(LearnedValues(minions or {}, queues or {}))
    return learner


def test_learned_values_are_exported_with_count_and_time():
    learner = durations()
    assert learner.learned == NOTHING_LEARNED
    for _ in range(3):
        run(learner, MINIONS[0], 2.0)
    learned = learner.learned
    assert learned.minions[MINIONS[0]].count == 3
    assert learned.queues[QUEUE].count == 3
    assert learned.minions[MINIONS[0]].learned_at == NOW
    assert 1.0 < learned.minions[MINIONS[0]].ratio < 2.0


def test_adopted_values_are_used_and_passed_on():
    """Guard against an owner that knows less than the one before it."""
    learner = adopting({"m0": value(3.0)}, {QUEUE: value(1.5)})
    assert learner.ratio(step(), MINIONS[0], ()) == pytest.approx(4.5)
    assert learner.ratio(step(), MINIONS[1], ()) == pytest.approx(1.5)
    assert learner.learned.minions["m0"] == value(3.0)
    assert learner.learned.queues[QUEUE] == value(1.5)


@pytest.mark.parametrize(
    ("adopted", "truth"),
    [(10.0, 1.0), (4.0, 1.0), (2.0, 1.0), (1.0, 1.0), (0.5, 1.0), (0.1, 1.0)]
    + [(1.0, 3.0), (3.0, 3.0), (0.3, 3.0)],
)
@pytest.mark.parametrize("what", ["minion", "queue", "both"])
def test_adopted_value_that_is_wrong_is_corrected_in_ten_runs(adopted, truth, what):
    """Guard against an owner that believes a wrong value of another for long."""
    learner = adopting(
        {"m0": value(adopted)} if what != "queue" else None,
        {QUEUE: value(adopted)} if what != "minion" else None,
    )
    # A queue is asked for on all minions; what is said of one must not spoil the rest.
    runs = MINIONS if what != "minion" else MINIONS[:1]
    for _ in range(RUNS_TO_CORRECT):
        for key in runs:
            run(learner, key, truth)
    found = learner.ratio(step(), MINIONS[0], ())
    assert found == pytest.approx(truth, rel=TOLERANCE)


@pytest.mark.parametrize("seed", range(5))
def test_adopted_value_that_is_right_stays_near_the_truth(seed):
    """Guard against runs of usual noise that throw away an adopted value."""
    random, truth = Random(seed), 3.0
    learner = adopting({"m0": value(truth)}, {QUEUE: value(1.0)})
    for _ in range(RUNS_TO_CORRECT):
        run(learner, MINIONS[0], truth * random.lognormvariate(0, 0.25))
        for key in MINIONS[1:]:
            run(learner, key, random.lognormvariate(0, 0.25))
    step_tasks = step()
    assert learner.ratio(step_tasks, MINIONS[0], ()) > 2 * learner.ratio(
        step_tasks, MINIONS[1], ()
    )


def test_without_adopted_values_runs_are_learned_as_before():
    """Guard against a change where nothing was adopted."""
    learner, random, queue, slowness = durations(), Random(1), 1.0, 1.0
    for _ in range(50):
        expected = learner.expected(step(), MINIONS[0], ())
        took = ms(random.randint(1, 400))
        observed = min(took / expected, 4.0)
        queue *= 1 + 0.05 * (observed - 1)
        slowness *= 1 + 0.1 * (observed - 1)
        learner.learn(step(), MINIONS[0], expected, took)
    assert learner.slowness(MINIONS[0]) == slowness
    assert learner.ratio(step(), MINIONS[1], ()) == queue


@pytest.mark.parametrize("truth", [0.25, 1.0, 2.0, 4.0])
@pytest.mark.parametrize("adopted", [0.5, 1.0, 2.0, None])
def test_runs_begun_under_one_estimate_do_not_add_up(adopted, truth):
    """Guard against estimates of a hundred times what any run took."""
    values = {QUEUE: value(adopted)} if adopted else {}
    learner, step_tasks = adopting(queues=values), step(estimate=MEAN_ESTIMATE)
    begun = [
        (key, learner.expected(step_tasks, key, ()))
        for _ in range(20)
        for key in MINIONS
    ]
    took = ms(MEAN_ESTIMATE) * truth
    least, most = sorted((truth, adopted or 1.0))
    for key, expected in begun:
        learner.learn(step_tasks, key, expected, took)
        found = learner.ratio(step_tasks, key, ())
        assert least * (1 - TOLERANCE) <= found <= most * (1 + TOLERANCE)
        of_queue = learner.ratio(step_tasks, None, ())
        assert least * (1 - TOLERANCE) <= of_queue <= most * (1 + TOLERANCE)


def test_a_hung_run_counts_as_a_multiple_of_what_was_expected_of_it():
    """Guard against one run that makes its queue and its minion look slow for long."""
    learner, step_tasks = durations(), step(estimate=MEAN_ESTIMATE)
    for _ in range(200):
        learner.learn(step_tasks, MINIONS[0], ms(MEAN_ESTIMATE), ms(60_000))
    assert learner.ratio(step_tasks, MINIONS[0], ()) <= MAX_RATIO


def test_runs_outside_the_rack_of_their_data_leave_the_ratios_alone():
    """Guard against a slowness that is counted as the rack's and as the minion's."""
    learner = Durations(1.5, lambda: NOW)
    step_tasks = step(estimate=MEAN_ESTIMATE, rack="r1")
    for _ in range(20):
        expected = learner.expected(step_tasks, MINIONS[0], ("r2",))
        learner.learn(step_tasks, MINIONS[0], expected, expected, ("r2",))
    assert learner.slowness(MINIONS[0]) == 1.0
    assert learner.ratio(step_tasks, None, ()) == 1.0


def test_new_incarnation_starts_without_the_values_of_its_predecessor():
    """Guard against a restarted minion that is avoided for its predecessor's speed."""
    learner = adopting({"m0@1000": value(3.0)})
    assert learner.slowness(MinionKey("m0@2000")) == 1.0
    learner.forget(MinionKey("m0@1000"))
    assert learner.learned.minions == {}


def test_first_task_of_a_new_owner_goes_to_the_fast_minion():
    """Guard against a takeover after which slow minions get tasks again."""
    slow, fast = minion("slow", used=7_000), minion("fast")
    task = step().waiting[0]
    untaught, taught = durations(), adopting({"slow": value(3.0)})
    assert choose_minion(task, [slow, fast], untaught, NOW) is slow
    assert choose_minion(task, [slow, fast], taught, NOW) is fast


@pytest.mark.parametrize(
    ("own_runs", "used"),
    [(0, True), (3, True), (5, False), (20, False)],
    ids=["never ran here", "hardly ran here", "ran here", "runs here"],
)
def test_values_of_other_data_centres_give_way_to_own_runs(own_runs, used):
    """Guard against estimates from other machines that displace own ones."""
    learner = durations()
    for _ in range(own_runs):
        run(learner, MINIONS[0], 1.0)
    before = learner.ratio(step(), None, ())
    assert bool(learner.adopt_remote({QUEUE: value(2.0)})) is used
    assert (learner.ratio(step(), None, ()) > before) is used


def test_remote_value_does_not_return_as_an_own_one():
    """Guard against two owners that confirm each other's value for ever."""
    learner = durations()
    learner.adopt_remote({QUEUE: value(2.0)})
    assert learner.learned.queues[QUEUE].count == 0
    assert learner.adopt_remote({QUEUE: value(2.0)}) == []


class NullObject:
    def __getattr__(self, name):
        return lambda *_, **__: None


class Clock:
    def monotonic(self):
        return NOW


def sharing_of(free_minion, size):
    return LoadSharing(
        TaskRegistry(Clock(), NullObject()),
        lambda: [free_minion],
        durations(),
        size,
        NullObject(),
        Clock(),
        NullObject(),
        lambda: False,
    )


@pytest.mark.parametrize("adopted", [0.68, 3.4, 6.8, 13.6, 68.0])
def test_adopted_task_size_is_used_and_corrected_in_ten_requests(adopted):
    """Guard against an owner that reports free slots of a wrong size after a takeover.

    Tasks of 6.8 cores are requested.
    """
    size = TaskSize(lambda: NOW)
    sharing = sharing_of(minion("a", cpu=1_000_000), size)
    assert size.adopt({TASK_CPU: value(adopted)})
    expected_slots = 1_000 / (adopted * SLOT_SIZE_MARGIN)
    assert sharing.load().free_slots == pytest.approx(expected_slots, abs=1)
    for _ in range(RUNS_TO_CORRECT):
        size.observe(Resources(6_800, 64))
    assert size.learned[TASK_CPU].ratio == pytest.approx(6.8, rel=TOLERANCE)
    true_slots = 1_000 / (6.8 * SLOT_SIZE_MARGIN)
    assert sharing.load().free_slots == pytest.approx(true_slots, rel=TOLERANCE)


def test_task_size_without_an_adopted_one_is_learned_as_before():
    """Guard against a change where nothing was adopted."""
    size = TaskSize(lambda: NOW)
    assert size.learned == {}
    requests = [Resources(cpu, 64) for cpu in (1_000, 6_800, 500)]
    mean = requests[0].cpu_millis
    for needs in requests:
        mean += TASK_SIZE_SMOOTHING * (needs.cpu_millis - mean)
        size.observe(needs)
        assert size.cpu_millis == pytest.approx(mean)
    assert size.learned[TASK_CPU].count == 3
    assert size.adopt({TASK_CPU: value(3.0)}) == []


def test_time_of_learning_is_that_of_the_last_run():
    times = iter([timedelta(seconds=1), timedelta(seconds=9)])
    learner = Durations(1.0, lambda: next(times))
    for _ in range(2):
        run(learner, MINIONS[0], 2.0)
    assert learner.learned.minions[MINIONS[0]].learned_at == timedelta(seconds=9)
