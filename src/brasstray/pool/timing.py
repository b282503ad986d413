"""Hold the intervals that the owner of a pool works by."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta


def _ms(count: int) -> timedelta:
    return timedelta(milliseconds=count)


@dataclass(frozen=True)
class PoolTiming:
    """Set the owner's intervals; docs/INVARIANTS.md has the inequality that they keep.

    `lease` is how far ahead a hold extends the life of runs; under the platform's bound
    of 1 s, and long enough for a takeover. `clock_rate_error` is how much slower than
    ours a minion's clock may run.
    """

    lease: timedelta = _ms(800)
    clock_rate_error: float = 0.02
    hold_wait: timedelta = _ms(150)
    idle_hold_wait: timedelta = _ms(400)
    call_patience: timedelta = _ms(150)
    look_patience: timedelta = _ms(150)
    silent_pause: timedelta = _ms(100)
    stop_time: timedelta = _ms(60)
    orphan_patience: timedelta = _ms(400)
    requester_silence: timedelta = _ms(600)
    list_interval: timedelta = _ms(500)
    missing_grace: timedelta = _ms(3_000)


__all__ = ["PoolTiming"]
