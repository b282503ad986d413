"""Return the operators' table in force; `ready` is false if it isn't known."""

from __future__ import annotations

from typing import Literal

from brasstray.peer.message.peer_message import PeerMessage
from brasstray.table.table import Table


class TableReply(PeerMessage):
    """Return the operators' table in force; `ready` is false if it isn't known."""

    kind: Literal["table_reply"] = "table_reply"
    table: Table
    ready: bool


__all__ = ["TableReply"]
