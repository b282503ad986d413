"""Check what the other runs on a minion show about a slow run."""

from __future__ import annotations

from datetime import timedelta

import pytest
from tests.pool.test_cold_minions import NullObject, add_active_run
from tests.pool.test_placement import NOW, minion, ms, step

from brasstray.pool.health_monitor import HealthMonitor
from brasstray.pool.neighbours import Neighbours, neighbours_of

USUAL, SLOW, UNKNOWN = Neighbours(usual=True), Neighbours(slow=True), Neighbours()


def with_runs(*percents, began=NOW):
    """Return a minion whose runs of 100 ms have reported `percents`."""
    target = minion("a", cpu=64_000)
    records = []
    for percent in percents:
        record = add_active_run(target, step(), began)
        record.run = len(records) + 1
        record.percent, record.expected = percent, ms(100)
        records.append(record)
    target.runs = {(r.name, r.run): r for r in records}
    return target, records


@pytest.mark.parametrize(
    ("others", "shown"),
    [
        # One long task beside runs that go on: the minion is sound.
        ((80,), USUAL),
        ((10, 80), USUAL),
        # All are slow.
        ((10,), SLOW),
        ((0, 10), SLOW),
        # Alone on its minion.
        ((), UNKNOWN),
    ],
)
def test_neighbours_at_one_time(others, shown):
    target, records = with_runs(10, *others)
    assert neighbours_of(records[0], target, NOW + ms(130)) == shown


def test_neighbours_that_have_just_begun_show_nothing():
    target, records = with_runs(10, 0)
    records[1].began = NOW + ms(100)
    assert neighbours_of(records[0], target, NOW + ms(130)) == UNKNOWN


def test_neighbour_that_is_known_to_be_long_shows_nothing():
    target, records = with_runs(10, 10)
    records[1].long_task = True
    assert neighbours_of(records[0], target, NOW + ms(130)) == UNKNOWN


@pytest.mark.parametrize(
    ("took_ms", "ended_ms", "shown"),
    [
        # A run that ended as usual while this one was slow shows a sound minion.
        (60, 100, USUAL),
        # It ended before this run began, or was slow itself.
        (60, -10, UNKNOWN),
        (400, 100, UNKNOWN),
    ],
)
def test_neighbours_that_have_ended(took_ms, ended_ms, shown):
    target, records = with_runs(10)
    ended = add_active_run(minion("b"), step(), NOW + ms(ended_ms - took_ms))
    monitor = HealthMonitor(lambda: [target], NullObject())
    monitor.record_done(target, ended, NOW + ms(ended_ms))
    assert neighbours_of(records[0], target, NOW + ms(130)) == shown


@pytest.mark.parametrize(
    ("other", "stopped", "suspended"),
    [
        # A long task beside a run that goes on: neither is touched.
        (80, False, False),
        # Both are slow: the minion is at fault.
        (5, True, True),
    ],
)
def test_only_a_slow_minion_is_suspended(other, stopped, suspended):
    target, records = with_runs(14, other)
    records[0].task.parent_step.slowdowns["b"] = 1.0
    monitor = HealthMonitor(lambda: [target], NullObject())
    now = NOW + timedelta(milliseconds=130)
    for record in records:
        record.progress.observe(record.percent, now)
    assert monitor.should_stop(target, records[0], now) is stopped
    assert target.health.suspected is suspended
    assert records[0].long_task is not stopped


def test_stuck_run_beside_a_moving_one_costs_no_minion():
    target, records = with_runs(0, 80)
    records[0].task.parent_step.slowdowns["b"] = 1.0
    monitor = HealthMonitor(lambda: [target], NullObject())
    assert monitor.should_stop(target, records[0], NOW + ms(130))
    assert not target.health.suspected


class Events(NullObject):
    """Keep the events on slow runs."""

    def __init__(self):
        self.kept = []

    def straggler_stopped(self, _minion, _record, reason):
        self.kept.append(reason.value)

    def long_task(self, _minion, _record):
        self.kept.append("long_task")


@pytest.mark.parametrize(
    ("percent", "other", "kept"),
    [
        (14, 5, ["slow_minion"]),
        (0, 80, ["stuck"]),
        # A long task is reported once, however often it is judged.
        (14, 80, ["long_task"]),
        (80, 80, []),
    ],
)
def test_events_say_why(percent, other, kept):
    target, records = with_runs(percent, other)
    records[0].task.parent_step.slowdowns["b"] = 1.0
    records[0].report(percent, NOW + ms(130))
    events = Events()
    monitor = HealthMonitor(lambda: [target], events)
    for _ in range(3):
        monitor.should_stop(target, records[0], NOW + ms(130))
    assert events.kept == kept
