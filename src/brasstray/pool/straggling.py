"""Judge from its progress whether a run is on a slow or stuck minion."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from brasstray.pool.run_record import RunRecord

# Beyond the error of estimates and the differences between sound minions together.
MAX_SLOWDOWN = 4.0
# Tasks of one step share the error of their estimate, so less suffices among them.
MAX_SLOWDOWN_VS_SIBLINGS = 2.2
# Below this the start's own delay is most of what is seen.
MIN_OBSERVATION = timedelta(milliseconds=120)
# Siblings have shown their pace by then.
SIBLINGS_TIMEOUT = timedelta(milliseconds=350)
# A restart must save this much: the run's remaining time against a whole new run.
MIN_RESTART_GAIN = 1.2


def is_straggler(record: RunRecord, now: timedelta, siblings: float | None) -> bool:
    """Return whether `record` will take far longer than its kind, and a restart helps.

    `siblings` is the ratio of actual to expected durations of tasks of the same step
    on other minions, if any is known.
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
    """Return how long `record` will take at least, in multiples of what was expected.

    Progress is told in whole percents, rounded down, so up to one more may be done.
    """
    projected = (now - record.began) * 100 / (record.percent + 1)
    return projected / record.expected


__all__ = ["SIBLINGS_TIMEOUT", "is_straggler", "slowdown"]
