"""Send a peer the slot credits per minion that it requested earlier."""

from __future__ import annotations

from typing import Literal

from brasstray.peer.message.peer_message import PeerMessage


class GrantSlots(PeerMessage):
    """Send a peer the slot credits per minion that it requested earlier."""

    kind: Literal["grant_slots"] = "grant_slots"
    minions: dict[str, int]


__all__ = ["GrantSlots"]
