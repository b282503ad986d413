"""Hold the state of one active job."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import anyio

if TYPE_CHECKING:
    from datetime import timedelta

    from brasstray.batch.batch import Batch
    from brasstray.batch.ids import PoolId
    from brasstray.batch.outcome import BatchResult
    from brasstray.batch.queue import Queue


@dataclass(eq=False)
class ActiveBatch:
    """Hold the placement of each unfinished task, and the result once there is one.

    `due` is the deadline that the queue's objective sets, `useful` is when an answer
    loses its value to the users, and `limit` is when the caller stops waiting.
    `placed` maps step and index to the pool that was last asked to run the task.
    `begun` tells whether a task may have been sent to a minion: only a job that has
    not begun can be reported as not run.
    `waiters` counts the callers that wait; the same job may have been submitted twice.
    """

    batch: Batch
    queue: Queue
    submitted_at: timedelta
    due: timedelta
    useful: timedelta
    limit: timedelta
    placed: dict[tuple[int, int], PoolId] = field(default_factory=dict)
    steps_left: dict[int, int] = field(default_factory=dict)
    steps_sent: set[int] = field(default_factory=set)
    any_done: bool = False
    begun: bool = False
    waiters: int = 0
    ended: anyio.Event = field(default_factory=anyio.Event)
    result: BatchResult | None = None

    def indices_at(self, pool: PoolId) -> dict[int, list[int]]:
        """Return the indices of the unfinished tasks placed at `pool`, by step."""
        found: dict[int, list[int]] = {}
        for (step, index), where in self.placed.items():
            if where == pool:
                found.setdefault(step, []).append(index)
        return found


__all__ = ["ActiveBatch"]
