"""Tell a replica that it may discard copies of flushed records."""

from __future__ import annotations

from typing import Literal

from brasstray.peer.message.peer_message import PeerMessage


class DropCopies(PeerMessage):
    """Tell a replica that it may discard copies of flushed records.

    It discards those of `term` that are numbered below `below`.
    """

    kind: Literal["drop_copies"] = "drop_copies"
    term: int
    below: int


__all__ = ["DropCopies"]
