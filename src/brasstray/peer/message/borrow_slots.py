"""Ask a peer for slot credits for waiting tasks."""

from __future__ import annotations

from typing import Literal

from brasstray.job.ids import ServiceName
from brasstray.peer.message.peer_message import PeerMessage


class BorrowSlots(PeerMessage):
    """Ask a peer for slot credits for waiting tasks."""

    kind: Literal["borrow_slots"] = "borrow_slots"
    service: ServiceName
    wanted: int
    held: int


__all__ = ["BorrowSlots"]
