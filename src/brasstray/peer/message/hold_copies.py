"""Ask a replica to keep copies of unflushed records, by record number."""

from __future__ import annotations

from typing import Literal

from brasstray.journal.records import Record
from brasstray.peer.message.peer_message import PeerMessage


class HoldCopies(PeerMessage):
    """Ask a replica to keep copies of unflushed records, by record number."""

    kind: Literal["hold_copies"] = "hold_copies"
    term: int
    numbers: list[int]
    records: list[Record | None]


__all__ = ["HoldCopies"]
