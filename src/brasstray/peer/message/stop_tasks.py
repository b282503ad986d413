"""Tell the owner of a pool that tasks are not wanted any more."""

from __future__ import annotations

from brasstray.batch.ids import BatchId
from brasstray.peer.message.host_message import HostMessage


class StopTasks(HostMessage, frozen=True, kw_only=True, tag="stop_tasks"):
    """Ask that no task of a job starts any more and that those active are stopped."""

    batch: BatchId


__all__ = ["StopTasks"]
