"""Detect from its progress whether a run is on a slow or stuck minion."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

from brasstray.pool.run_progress import PACE_WINDOW
from brasstray.pool.run_verdict import RunVerdict

if TYPE_CHECKING:
    from brasstray.pool.neighbours import Neighbours
    from brasstray.pool.run_record import RunRecord

# Above the error of estimates and the differences between healthy minions combined.
MAX_SLOWDOWN = 4.0
# Tasks of one step share the error of their estimate, so a smaller ratio suffices.
MAX_SLOWDOWN_VS_SIBLINGS = 2.2
# In a shorter time, the delay of the start itself dominates the measurement.
MIN_OBSERVATION = timedelta(milliseconds=120)
# By this time siblings have reported progress.
SIBLINGS_TIMEOUT = timedelta(milliseconds=350)
# The remaining time of the run must exceed a whole new run by this factor.
MIN_RESTART_GAIN = 1.2
# At a lower pace, in multiples of the usual duration, no answer would still be of use.
STUCK_SLOWDOWN = 20.0


def is_straggler(record: RunRecord, now: timedelta, siblings: float | None) -> bool:
    """Return whether `record` will take far longer than usual, and a restart pays off.

    `siblings` is the ratio of actual to expected durations of tasks of the same step on
    other minions, None if unknown.
    """
    elapsed = now - record.began
    if not record.expected or elapsed < MIN_OBSERVATION:
        return False
    ratio = slowdown(record, now)
    if siblings is None:
        if ratio <= MAX_SLOWDOWN:
            return False
    elif ratio <= siblings * MAX_SLOWDOWN_VS_SIBLINGS:
        return False
    remaining = record.expected * ratio - elapsed
    return remaining > record.expected * (siblings or 1.0) * MIN_RESTART_GAIN


def slowdown(record: RunRecord, now: timedelta) -> float:
    """Return the least possible duration of `record` in multiples of the expected one.

    Progress is reported in whole percents, rounded down, so up to one more may be done.
    """
    projected = (now - record.began) * 100 / (record.percent + 1)
    return projected / record.expected


def recent_slowdown(record: RunRecord, now: timedelta) -> float | None:
    """Return the slowdown that the pace of the last moments means, None if unknown."""
    mark = record.progress.recent
    if not record.expected or now - mark.at < PACE_WINDOW:
        return None
    moved = record.percent - mark.percent + 1
    return (now - mark.at) * 100 / moved / record.expected


def is_stuck(record: RunRecord, now: timedelta) -> bool:
    """Return whether `record` has not moved where even a long task would have."""
    unmoved = now - record.progress.moved_at
    least = record.expected * STUCK_SLOWDOWN / 100
    return unmoved >= max(MIN_OBSERVATION, least)


def judge(
    record: RunRecord,
    now: timedelta,
    siblings: float | None,
    neighbours: Neighbours,
    long_share: float,
) -> RunVerdict:
    """Return why `record` is slow, and so whether its task should begin again.

    `long_share` is how likely the task itself is long, where nothing else tells.
    """
    if _turned_slow(record, now, siblings, neighbours):
        return RunVerdict.SLOW_MINION
    if is_stuck(record, now):
        return RunVerdict.STUCK
    if not is_straggler(record, now, siblings):
        return RunVerdict.USUAL
    if record.long_task:
        # Its pace is what it was when other runs showed a sound minion.
        return RunVerdict.LONG_TASK
    if neighbours.slow:
        return RunVerdict.SLOW_MINION
    if neighbours.usual or not _gains(record, now, siblings, long_share):
        return RunVerdict.LONG_TASK
    return RunVerdict.SLOW_MINION


def _turned_slow(
    record: RunRecord, now: timedelta, siblings: float | None, neighbours: Neighbours
) -> bool:
    """Return whether the minion has become slow in the middle of its runs."""
    recent = recent_slowdown(record, now)
    mark = record.progress.recent
    if recent is None or mark.at - record.began < PACE_WINDOW or not neighbours.slow:
        return False
    before = (mark.at - record.began) * 100 / max(1, mark.percent) / record.expected
    if recent <= before * MAX_SLOWDOWN_VS_SIBLINGS:
        return False
    remaining = record.expected * recent * (99 - record.percent) / 100
    elsewhere = max(before, siblings or 0.0)
    return remaining > record.expected * elsewhere * MIN_RESTART_GAIN


def _gains(
    record: RunRecord, now: timedelta, siblings: float | None, long_share: float
) -> bool:
    """Return whether the task would probably end sooner if it began elsewhere."""
    ratio = slowdown(record, now)
    remaining = record.expected * ratio - (now - record.began)
    elsewhere = long_share * ratio + (1 - long_share) * (siblings or 1.0)
    return remaining > record.expected * elsewhere * MIN_RESTART_GAIN


__all__ = [
    "MAX_SLOWDOWN_VS_SIBLINGS",
    "SIBLINGS_TIMEOUT",
    "is_straggler",
    "is_stuck",
    "judge",
    "recent_slowdown",
    "slowdown",
]
