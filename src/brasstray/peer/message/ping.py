"""Show that the sender lives."""

from __future__ import annotations

from brasstray.batch.ids import ConfigVersion
from brasstray.peer.message.host_message import HostMessage


class Ping(HostMessage, frozen=True, kw_only=True, tag="ping"):
    """Show that the sender lives, and which configuration it has."""

    config_version: ConfigVersion


__all__ = ["Ping"]
