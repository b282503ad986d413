"""Ask a replica to reject a term from now on and to return its copies."""

from __future__ import annotations

from typing import Literal

from brasstray.peer.message.peer_message import PeerMessage


class FenceTerm(PeerMessage):
    """Ask a replica to reject a term from now on and to return its copies."""

    kind: Literal["fence_term"] = "fence_term"
    term: int


__all__ = ["FenceTerm"]
