"""Request part of a host's configuration."""

from __future__ import annotations

from brasstray.batch.ids import ConfigVersion
from brasstray.peer.message.host_message import HostMessage


class ConfigWanted(HostMessage, frozen=True, kw_only=True, tag="config_wanted"):
    """Request the text of `version`, starting at byte `offset`."""

    version: ConfigVersion
    offset: int = 0


__all__ = ["ConfigWanted"]
