"""Define the first message on a connection to a pool owner."""

from __future__ import annotations

from brasstray.batch.evacuation_set import UNREAD_EVACUATIONS, EvacuationSet
from brasstray.batch.ids import ConfigVersion
from brasstray.job.ids import HostName, IncarnationId
from brasstray.peer.message.host_message import HostMessage


class Hello(HostMessage, frozen=True, kw_only=True, tag="hello"):
    """Identify the connecting host, and report its configuration and evacuations.

    `power` is the share of a core that the host has, multiplied by the core's speed.
    `sent_ms` is the sender's own clock, which counts suspensions.
    """

    host: HostName
    incarnation: IncarnationId
    config_version: ConfigVersion
    evacuations: EvacuationSet = UNREAD_EVACUATIONS
    power: float = 1.0
    sent_ms: int | None = None


__all__ = ["Hello"]
