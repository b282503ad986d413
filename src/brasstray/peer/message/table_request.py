"""Request the operators' table that is in force on a peer."""

from __future__ import annotations

from typing import Literal

from brasstray.peer.message.peer_message import PeerMessage


class TableRequest(PeerMessage):
    """Request the operators' table that is in force on a peer."""

    kind: Literal["ask_table"] = "ask_table"


__all__ = ["TableRequest"]
