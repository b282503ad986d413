"""Check how tasks are handled on minions that are slow after their start.

The case is a data centre that was empty and comes back: all its minions are cold for
some seconds, under the usual load.
"""

from __future__ import annotations

import json
from datetime import timedelta

import pytest
from tests.pool.test_placement import NOW, minion, ms, step

from brasstray.batch.ids import RunNumber
from brasstray.job.ids import MinionId
from brasstray.platform.minion_listing import parse_minion_entry
from brasstray.pool.durations import Durations
from brasstray.pool.health_monitor import HealthMonitor
from brasstray.pool.minion_entry import MinionEntry
from brasstray.pool.placement import choose_minion
from brasstray.pool.pool_task import TaskPhase
from brasstray.pool.probe_reply import EndedRun, RunEnd
from brasstray.pool.run_record import RunRecord, RunState
from brasstray.pool.run_tracker import RunTracker
from brasstray.pool.task_registry import TaskRegistry
from brasstray.store.entry import StoreEntry


class Clock:
    def __init__(self):
        self.now = NOW

    def monotonic(self):
        return self.now


class NullObject:
    def __getattr__(self, name):
        return lambda *_, **__: None


def cold(target, left_ms):
    entry = target.entry
    fields = {name: getattr(entry, name) for name in entry.__dataclass_fields__}
    target.update_entry(MinionEntry(**{**fields, "cold_left_ms": left_ms}), NOW)
    return target


def add_active_run(target, step_tasks, began=NOW):
    task = step_tasks.waiting.pop()
    task.phase = TaskPhase.PLACED
    record = RunRecord(
        task.name,
        RunNumber(1),
        step_tasks.needs,
        began,
        ms(60),
        RunState.ACTIVE,
        task,
        cold=target.is_cold(began),
    )
    target.add(record)
    return record


@pytest.mark.parametrize(
    ("others", "chosen"),
    [
        # A warm minion comes before a cold one, even with a worse fit.
        ([cold(minion("a", used=7_000), 5_000), minion("b")], "b"),
        ([cold(minion("a"), 0), minion("b", used=7_000)], "b"),
        # A cold minion is better than none.
        ([cold(minion("a"), 5_000), minion("b", used=12_000)], "a"),
    ],
)
def test_warm_minions_are_preferred(others, chosen):
    step_tasks = step()
    found = choose_minion(step_tasks.waiting[0], others, Durations(1.5), NOW)
    assert found.entry.id == chosen


def test_minion_is_cold_until_its_announced_time():
    target = cold(minion("a"), 2_000)
    assert target.is_cold(NOW + ms(1_999))
    assert not target.is_cold(NOW + ms(2_000))


@pytest.mark.parametrize(("left_ms", "ratio"), [(5_000, 1.0), (0, 1.2)])
def test_no_durations_are_learned_from_cold_minions(left_ms, ratio):
    # When a data centre comes back cold, each run takes five times as long as usual. If
    # that were learned as the speed of the queue or the minions, jobs would be
    # rejected, and the data centre left unused, for seconds after it is warm.
    durations, clock = Durations(1.5), Clock()
    registry = TaskRegistry(clock, NullObject())
    target, step_tasks = cold(minion("a"), left_ms), step()
    step_tasks.requester = NullObject()
    monitor = HealthMonitor(lambda: [target], NullObject())
    tracker = RunTracker(
        registry,
        monitor,
        durations,
        clock,
        NullObject(),
        lambda: False,
        lambda *_: None,
    )
    record = add_active_run(target, step_tasks)
    clock.now += ms(300)
    tracker.apply_report(
        target, (), (EndedRun(1, record.name, record.run, RunEnd.DONE),)
    )
    assert durations.ratio(step(), None, ()) == pytest.approx(ratio, abs=0.1)
    learned = durations.ratio(step(), MinionId("a"), ())
    assert (learned > 1.0) == (left_ms == 0)


@pytest.mark.parametrize(("left_ms", "stopped"), [(5_000, False), (0, True)])
def test_run_on_a_cold_minion_is_no_straggler(left_ms, stopped):
    # The run is five times as slow as expected, as its minion has announced. Stopping
    # it would waste its work, and a suspended minion would be missing for longer.
    target, step_tasks = cold(minion("a"), left_ms), step()
    record = add_active_run(target, step_tasks)
    record.percent = 50
    monitor = HealthMonitor(lambda: [target], NullObject())
    now = NOW + timedelta(milliseconds=200)
    assert monitor.should_stop(target, record, now) is stopped
    assert target.health.suspected is stopped


@pytest.mark.parametrize(
    ("told", "left_ms"),
    [(None, 0), (0, 0), (2_500, 2_500), (12.7, 12), (-3, 0), (1e300, 600_000)],
)
def test_cold_time_is_read_from_the_store_entry(told, left_ms):
    body = {
        "Service": "s",
        "Address": "10.0.0.1:80",
        "Zone": "z",
        "State": "ready",
        "Capacity": {"Cpu": 16_000, "MemMb": 32_768},
    }
    if told is not None:
        body["ColdLeftMs"] = told
    entry = StoreEntry("servers/i-1", json.dumps(body).encode(), 7)
    assert parse_minion_entry(entry).cold_left_ms == left_ms


def test_entries_that_differ_in_the_cold_time_alone_are_equal():
    # Otherwise an owner would send all minions to its successors after every read.
    target = minion("a")
    assert target.entry == cold(minion("a"), 700).entry
