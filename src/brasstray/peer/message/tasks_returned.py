"""Return tasks that a pool will not run to the host that requested them."""

from __future__ import annotations

import msgspec

from brasstray.batch.ids import BatchId, PoolId
from brasstray.peer.message.host_message import HostMessage


class TasksReturned(HostMessage, frozen=True, kw_only=True, tag="tasks_returned"):
    """Return tasks that were not started, and name a pool with free capacity.

    If `pool` is None, no pool can run the tasks before their caller gives up, and a new
    job would wait for `wait_ms`. `begun` says that a task of the step was already sent
    to a minion, whatever its outcome; `outcome_unknown`, that the tasks may be running
    on an unreachable minion; `evacuated`, that no task may start in the pool's data
    centre.
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
