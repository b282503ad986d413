"""Pass a configuration on to a host that has an older one."""

from __future__ import annotations

from typing import Literal

from brasstray.peer.message.peer_message import PeerMessage


class ConfigText(PeerMessage):
    """Hold a configuration as it was read from the store."""

    kind: Literal["config_text"] = "config_text"
    text: bytes


__all__ = ["ConfigText"]
