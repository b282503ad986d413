"""Announce the successors of a pool owner to the hosts of its data centre."""

from __future__ import annotations

from brasstray.job.ids import HostName
from brasstray.peer.message.host_message import HostMessage


class Successors(HostMessage, frozen=True, kw_only=True, tag="successors"):
    """List the hosts that take over the pool if its owner is lost, in this order."""

    hosts: tuple[HostName, ...]


__all__ = ["Successors"]
