"""Report the outcome of tasks to the host that requested them."""

from __future__ import annotations

from brasstray.batch.ids import BatchId
from brasstray.peer.message.host_message import HostMessage


class TasksEnded(HostMessage, frozen=True, kw_only=True, tag="tasks_ended"):
    """List the tasks that are done and those that have failed permanently."""

    batch: BatchId
    step: int
    done: tuple[int, ...] = ()
    failed: tuple[int, ...] = ()


__all__ = ["TasksEnded"]
