"""Open a link to the owner of a pool."""

from __future__ import annotations

from brasstray.batch.evacuation_set import NEVER_READ, EvacuationSet
from brasstray.batch.ids import ConfigVersion
from brasstray.job.ids import HostName, IncarnationId
from brasstray.peer.message.host_message import HostMessage


class Hello(HostMessage, frozen=True, kw_only=True, tag="hello"):
    """Say who opens a link, and what it knows of the operators' wishes.

    `power` is the share of a core that the host has, times the core's speed.
    """

    host: HostName
    incarnation: IncarnationId
    config_version: ConfigVersion
    evacuations: EvacuationSet = NEVER_READ
    power: float = 1.0


__all__ = ["Hello"]
