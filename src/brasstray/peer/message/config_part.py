"""Send part of a configuration to a host that has requested it."""

from __future__ import annotations

from brasstray.batch.ids import ConfigVersion
from brasstray.peer.message.host_message import HostMessage


class ConfigPart(HostMessage, frozen=True, kw_only=True, tag="config_part"):
    """Hold part of a configuration text of `size` bytes, starting at byte `offset`.

    `version` is the sender's current one, which may be newer than the one requested;
    in that case, the part is the first one.
    """

    version: ConfigVersion
    size: int
    text: bytes
    offset: int = 0


__all__ = ["ConfigPart"]
