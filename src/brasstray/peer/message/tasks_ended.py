"""Tell who asked for tasks how they ended."""

from __future__ import annotations

from brasstray.batch.ids import BatchId
from brasstray.peer.message.host_message import HostMessage


class TasksEnded(HostMessage, frozen=True, kw_only=True, tag="tasks_ended"):
    """Tell which tasks are done and which have failed for good."""

    batch: BatchId
    step: int
    done: tuple[int, ...] = ()
    failed: tuple[int, ...] = ()


__all__ = ["TasksEnded"]
