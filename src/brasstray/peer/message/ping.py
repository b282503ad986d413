"""Show that the sender lives."""

from __future__ import annotations

from typing import Literal

from brasstray.batch.ids import ConfigVersion
from brasstray.peer.message.peer_message import PeerMessage


class Ping(PeerMessage):
    """Show that the sender lives, and which configuration it has."""

    kind: Literal["ping"] = "ping"
    config_version: ConfigVersion


__all__ = ["Ping"]
