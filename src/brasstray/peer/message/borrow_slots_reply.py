"""Reply to BorrowSlots with the slot credits granted per minion."""

from __future__ import annotations

from typing import Literal

from brasstray.peer.message.peer_message import PeerMessage


class BorrowSlotsReply(PeerMessage):
    """Reply to BorrowSlots with the slot credits granted per minion."""

    kind: Literal["slots_granted"] = "slots_granted"
    minions: dict[str, int]


__all__ = ["BorrowSlotsReply"]
