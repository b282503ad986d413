"""Detect from its progress whether a run is on a slow or stuck minion."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

if TYPE_CHECKING:
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


__all__ = ["SIBLINGS_TIMEOUT", "is_straggler", "slowdown"]
