"""Hold the intervals that a coordinator works by."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta


@dataclass(frozen=True)
class CoordinatorTiming:
    """Set how long a coordinator waits; docs/INVARIANTS.md has the inequality.

    `pool_timeout` is how long a new job waits for any owner, about a takeover.
    `lost_pool_timeout` is how long tasks at a pool without a reachable owner are waited
    for. `retry_after` is told when nothing better is known, `evacuated_retry_after`
    while every data centre is evacuated, which lasts for several seconds at least.
    """

    pool_timeout: timedelta = timedelta(milliseconds=300)
    lost_pool_timeout: timedelta = timedelta(milliseconds=900)
    retry_after: timedelta = timedelta(seconds=1)
    evacuated_retry_after: timedelta = timedelta(seconds=5)
    tick: timedelta = timedelta(milliseconds=50)


__all__ = ["CoordinatorTiming"]
