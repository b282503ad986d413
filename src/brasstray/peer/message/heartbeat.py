"""Report that the sender is alive, and its view of the journal's leader."""

from __future__ import annotations

from typing import Literal

from brasstray.job.ids import IncarnationId
from brasstray.peer.message.peer_message import PeerMessage


class Heartbeat(PeerMessage):
    """Report that the sender is alive, and its view of the journal's leader."""

    kind: Literal["heartbeat"] = "heartbeat"
    sender: IncarnationId
    draining: bool
    term: int
    leader: IncarnationId | None
    table_version: int = 0
    held: int = 0
    holdings: dict[str, int] = {}
    ejected: list[str] = []


__all__ = ["Heartbeat"]
