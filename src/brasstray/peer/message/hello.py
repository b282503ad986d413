"""Open a link to the owner of a pool."""

from __future__ import annotations

from typing import Literal

from brasstray.batch.ids import ConfigVersion
from brasstray.job.ids import HostName, IncarnationId
from brasstray.peer.message.peer_message import PeerMessage


class Hello(PeerMessage):
    """Say who opens a link, and which configuration it has."""

    kind: Literal["hello"] = "hello"
    host: HostName
    incarnation: IncarnationId
    config_version: ConfigVersion


__all__ = ["Hello"]
