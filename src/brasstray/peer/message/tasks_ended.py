"""Tell who asked for tasks how they ended."""

from __future__ import annotations

from typing import Literal

from brasstray.batch.ids import BatchId
from brasstray.peer.message.peer_message import PeerMessage


class TasksEnded(PeerMessage):
    """Tell which tasks are done and which have failed for good."""

    kind: Literal["tasks_ended"] = "tasks_ended"
    batch: BatchId
    step: int
    done: tuple[int, ...] = ()
    failed: tuple[int, ...] = ()


__all__ = ["TasksEnded"]
