"""Check which tasks start first, and where, when there is not capacity for all.

The load is that of the last days of a month: wide jobs of 60 ms tasks, jobs of a few
200 ms tasks and some of 900 ms ones, at or above the capacity of the minions.
"""

from __future__ import annotations

from datetime import timedelta

import pytest

from brasstray.batch.ids import BatchId, RunNumber
from brasstray.batch.resources import Resources
from brasstray.batch.task_name import TaskName
from brasstray.job.ids import DataCentreName, MinionId, ServiceName
from brasstray.pool.durations import Durations
from brasstray.pool.minion import Minion, Reachability
from brasstray.pool.minion_entry import MinionEntry
from brasstray.pool.placement import choose_minion, urgency
from brasstray.pool.pool_task import PoolTask, TaskPhase
from brasstray.pool.run_record import RunRecord, RunState
from brasstray.pool.step_tasks import StepTasks

SERVICE = ServiceName("verlofdienst")
NOW = timedelta(seconds=100)


def ms(count):
    return timedelta(milliseconds=count)


def step(due=500, estimate=60, *, width=1, begun=False, useful_until=1_500, **changes):
    step_tasks = StepTasks(
        batch=BatchId("a" * 16),
        step=0,
        requester=None,
        service=SERVICE,
        spec="",
        needs=Resources(6_800, 64),
        estimate=ms(estimate),
        arrived=NOW,
        due=NOW + ms(due),
        useful_until=NOW + ms(useful_until),
        limit=NOW + ms(3_000),
        priority=0,
        attempts=3,
        rack="",
        label="",
        max_per_minion=0,
        forwarded=False,
        queue="q",
        width=width,
    )
    step_tasks.begun = begun
    for name, value in changes.items():
        setattr(step_tasks, name, value)
    for index in range(width):
        name = TaskName(step_tasks.batch, 0, index)
        task = PoolTask(name, step_tasks, TaskPhase.WAITING, RunNumber(0))
        step_tasks.tasks[index] = task
        step_tasks.waiting.append(task)
    return step_tasks


def minion(name, cpu=16_000, labels=(), used=0, **changes):
    entry = MinionEntry(
        MinionId(name),
        changes.pop("service", SERVICE),
        DataCentreName("dc0"),
        name,
        1,
        Resources(cpu, 32_000),
        labels,
        changes.pop("draining", False),
    )
    new_minion = Minion(entry)
    new_minion.reach = changes.pop("reach", Reachability.LEASED)
    if used:
        record = RunRecord(
            TaskName(BatchId("b" * 16), 0, 0),
            RunNumber(1),
            Resources(used),
            NOW,
            ms(60),
            RunState.ACTIVE,
            None,
            size_known=changes.pop("size_known", True),
        )
        new_minion.add(record)
    return new_minion


@pytest.mark.parametrize(
    ("first", "second"),
    [
        # Both can meet their objective: the one that must start sooner goes first.
        (step(due=100), step(due=300)),
        (step(due=500, estimate=450), step(due=300, estimate=60)),
        # A step that has begun goes before a new one: a partial job has no answer.
        (step(due=400, begun=True), step(due=100)),
        # A step that can still meet its objective goes before one that cannot.
        (step(due=400), step(due=10)),
        (step(due=400), step(due=10, begun=True)),
        # Of late steps, those that have begun go first, then the shortest.
        (step(due=-50, estimate=200, begun=True), step(due=-50, estimate=60)),
        (step(due=-50, estimate=60), step(due=-50, estimate=200)),
        (step(due=-50, estimate=60, width=2), step(due=-50, estimate=60, width=8)),
        # A step whose answer is of little use goes last, whatever its duration.
        (
            step(due=-50, estimate=900),
            step(due=-900, estimate=60, useful_until=-10, begun=True),
        ),
    ],
)
def test_urgency_order(first, second):
    def key(step_tasks):
        return urgency(step_tasks, step_tasks.estimate, NOW)

    assert key(first) < key(second)


@pytest.mark.parametrize(
    ("others", "chosen"),
    [
        # The minion that is left with the least unusable capacity.
        ([minion("a"), minion("b", used=7_000)], "b"),
        ([minion("a", cpu=24_000, used=13_600), minion("b")], "a"),
        # Not a minion that is full, unreachable, of another service or draining.
        ([minion("a", used=12_000), minion("b")], "b"),
        ([minion("a", reach=Reachability.UNREACHABLE), minion("b")], "b"),
        ([minion("a", reach=Reachability.UNPROBED), minion("b")], "b"),
        ([minion("a", service=ServiceName("other")), minion("b")], "b"),
        ([minion("a", draining=True), minion("b")], "b"),
        ([minion("a", draining=True)], None),
        # Not a minion with runs of a previous owner whose size is unknown.
        ([minion("a", used=1, size_known=False), minion("b")], "b"),
        ([], None),
    ],
)
def test_choice_of_minion(others, chosen):
    task = step().waiting[0]
    found = choose_minion(task, others, Durations(1.5), NOW)
    assert (found.entry.id if found else None) == chosen


@pytest.mark.parametrize(
    ("changes", "chosen"),
    [
        ({"label": "gpu"}, "labelled"),
        ({"rack": "r1"}, "near"),
        ({}, "plain"),
    ],
)
def test_choice_by_label_and_rack(changes, chosen):
    minions = [
        minion("plain", used=7_000),
        minion("labelled", labels=("gpu", "r2")),
        minion("near", labels=("a", "r1")),
    ]
    minions[0].entry = minions[0].entry.__class__(
        **{**_fields(minions[0].entry), "labels": ("a", "r2")}
    )
    task = step(**changes).waiting[0]
    assert choose_minion(task, minions, Durations(1.5), NOW).entry.id == chosen


def _fields(entry):
    return {name: getattr(entry, name) for name in entry.__dataclass_fields__}


def test_faster_minion_is_learned_and_preferred():
    durations = Durations(1.0)
    step_tasks = step()
    fast, slow = minion("fast"), minion("slow")
    for _ in range(20):
        durations.learn(step_tasks, fast.entry.id, ms(60), ms(45))
        durations.learn(step_tasks, slow.entry.id, ms(60), ms(75))
    task = step_tasks.waiting[0]
    assert choose_minion(task, [slow, fast], durations, NOW) is fast


def test_max_per_minion_limits_tasks_of_a_step():
    step_tasks = step(width=2, max_per_minion=1)
    one, other = minion("a", cpu=24_000), minion("b", cpu=24_000)
    running = RunRecord(
        step_tasks.waiting[0].name,
        RunNumber(1),
        step_tasks.needs,
        NOW,
        ms(60),
        RunState.ACTIVE,
        step_tasks.waiting[0],
    )
    one.add(running)
    assert (
        choose_minion(step_tasks.waiting[1], [one, other], Durations(1.0), NOW) is other
    )
    assert choose_minion(step_tasks.waiting[1], [one], Durations(1.0), NOW) is None
