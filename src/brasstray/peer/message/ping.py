"""Define the heartbeat of a host to a pool owner."""

from __future__ import annotations

from brasstray.batch.evacuation_set import UNREAD_EVACUATIONS, EvacuationSet
from brasstray.batch.ids import ConfigVersion
from brasstray.peer.message.host_message import HostMessage


class Ping(HostMessage, frozen=True, kw_only=True, tag="ping"):
    """Report that the sender is alive, and its configuration and evacuations.

    `sent_ms` is the sender's own clock, which counts suspensions.
    """

    config_version: ConfigVersion
    evacuations: EvacuationSet = UNREAD_EVACUATIONS
    sent_ms: int | None = None


__all__ = ["Ping"]
