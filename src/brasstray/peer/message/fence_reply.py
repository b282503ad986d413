"""Return the copies of a fenced term, or None if its leader never sent any."""

from __future__ import annotations

from typing import Literal

from brasstray.journal.records import Record
from brasstray.peer.message.peer_message import PeerMessage


class FenceReply(PeerMessage):
    """Return the copies of a fenced term, or None if its leader never sent any."""

    kind: Literal["fence_reply"] = "fence_reply"
    records: list[Record] | None


__all__ = ["FenceReply"]
