"""Tell the owner of a pool that tasks are not wanted any more."""

from __future__ import annotations

from typing import Literal

from brasstray.batch.ids import BatchId
from brasstray.peer.message.peer_message import PeerMessage


class StopTasks(PeerMessage):
    """Ask that no task of a job starts any more and that those active are stopped."""

    kind: Literal["stop_tasks"] = "stop_tasks"
    batch: BatchId


__all__ = ["StopTasks"]
