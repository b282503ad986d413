"""Report whether copies are held; they are not if the term is fenced."""

from __future__ import annotations

from typing import Literal

from brasstray.peer.message.peer_message import PeerMessage


class HoldReply(PeerMessage):
    """Report whether copies are held; they are not if the term is fenced."""

    kind: Literal["hold_reply"] = "hold_reply"
    held: bool


__all__ = ["HoldReply"]
