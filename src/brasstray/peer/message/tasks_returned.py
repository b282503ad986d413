"""Return tasks that this pool will not run."""

from __future__ import annotations

import msgspec

from brasstray.batch.ids import BatchId, PoolId
from brasstray.peer.message.host_message import HostMessage


class TasksReturned(HostMessage, frozen=True, kw_only=True, tag="tasks_returned"):
    """Return tasks that were not started, and name a pool with free capacity.

    Without a pool, the tasks cannot be run before their caller leaves; a new job would
    wait for `wait_ms`. `begun` says that a task of the step was sent to a minion
    before, whatever became of it; `outcome_unknown` that they may run on a minion that
    is unreachable; `evacuated` that nothing may start in the pool's data centre.
    """

    batch: BatchId
    step: int
    indices: tuple[int, ...]
    pool: PoolId | None = None
    wait_ms: int = 0
    begun: bool = False
    outcome_unknown: bool = msgspec.field(default=False, name="in_doubt")
    evacuated: bool = False


__all__ = ["TasksReturned"]
