"""Report that the receiver isn't the leader, or can't commit at present."""

from __future__ import annotations

from typing import Literal

from brasstray.peer.message.peer_message import PeerMessage


class JournalRefusal(PeerMessage):
    """Report that the receiver isn't the leader, or can't commit at present."""

    kind: Literal["journal_refusal"] = "journal_refusal"
    leads: bool


__all__ = ["JournalRefusal"]
