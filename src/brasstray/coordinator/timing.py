"""Define the intervals of a coordinator."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta


@dataclass(frozen=True)
class CoordinatorTiming:
    """Define how long a coordinator waits; docs/INVARIANTS.md has the inequality.

    `pool_timeout` is how long a new job waits for any owner, about the duration of a
    takeover.
    `lost_pool_timeout` is how long the coordinator waits for tasks at a pool without a
    reachable owner.
    `retry_after` is the default delay before a refused caller may retry;
    `evacuated_retry_after` applies while every data centre is evacuated, which lasts
    for several seconds at least.
    `tick` is the polling interval.
    """

    pool_timeout: timedelta = timedelta(milliseconds=300)
    lost_pool_timeout: timedelta = timedelta(milliseconds=900)
    retry_after: timedelta = timedelta(seconds=1)
    evacuated_retry_after: timedelta = timedelta(seconds=5)
    tick: timedelta = timedelta(milliseconds=50)


__all__ = ["CoordinatorTiming"]
