"""Estimate in which pool a waiting task would end first."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from brasstray.batch.ids import PoolId
    from brasstray.pool.pool_load import PoolLoad

# The way of a task by its coordinator to the owner of another pool, and of its start.
TRANSIT = timedelta(milliseconds=10)
# A step moves to the queue of another pool only if it ends sooner there by this.
MIN_GAIN = timedelta(milliseconds=30)


def end_elsewhere(
    load: PoolLoad, priority: int, expected: timedelta, per_task: timedelta
) -> timedelta:
    """Return in how long a task would end in a pool with `load`.

    Each task sent there beyond its free slots adds `per_task` to the wait.
    """
    if load.free_slots:
        return TRANSIT + expected
    return TRANSIT + load.wait(priority) + load.excess * per_task + expected


def first_to_end(
    loads: Mapping[PoolId, PoolLoad],
    priority: int,
    expected: timedelta,
    per_task: timedelta,
) -> tuple[PoolId, timedelta] | None:
    """Return the pool in which a task would end first and in how long, if any."""
    ends = {
        pool: end_elsewhere(load, priority, expected, per_task)
        for pool, load in loads.items()
    }
    return min(ends.items(), key=lambda item: item[1], default=None)


__all__ = ["MIN_GAIN", "TRANSIT", "end_elsewhere", "first_to_end"]
