"""Acknowledge a message whose reply carries no data."""

from __future__ import annotations

from typing import Literal

from brasstray.peer.message.peer_message import PeerMessage


class Acknowledgement(PeerMessage):
    """Acknowledge a message whose reply carries no data."""

    kind: Literal["done"] = "done"


__all__ = ["Acknowledgement"]
