"""Give tasks back that this pool will not run."""

from __future__ import annotations

from brasstray.batch.ids import BatchId, PoolId
from brasstray.peer.message.host_message import HostMessage


class TasksReturned(HostMessage, frozen=True, kw_only=True, tag="tasks_returned"):
    """Give tasks back that were not started, and name a pool that has room.

    Without a pool, the tasks cannot be run before their caller leaves; a new job would
    wait for `wait_ms`. `begun` says that a task of the step was sent to a minion
    before, whatever became of it; `in_doubt` that they may run out of reach;
    `evacuated` that nothing may start in the pool's data centre.
    """

    batch: BatchId
    step: int
    indices: tuple[int, ...]
    pool: PoolId | None = None
    wait_ms: int = 0
    begun: bool = False
    in_doubt: bool = False
    evacuated: bool = False


__all__ = ["TasksReturned"]
