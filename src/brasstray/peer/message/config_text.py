"""Pass a configuration on to a host that has an older one."""

from __future__ import annotations

from brasstray.peer.message.host_message import HostMessage


class ConfigText(HostMessage, frozen=True, kw_only=True, tag="config_text"):
    """Hold a configuration as it was read from the store."""

    text: bytes


__all__ = ["ConfigText"]
