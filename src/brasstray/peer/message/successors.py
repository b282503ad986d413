"""Tell the hosts of a data centre who takes the pool next."""

from __future__ import annotations

from brasstray.job.ids import HostName
from brasstray.peer.message.host_message import HostMessage


class Successors(HostMessage, frozen=True, kw_only=True, tag="successors"):
    """Name the hosts that take the pool over, in this order, if its owner is lost."""

    hosts: tuple[HostName, ...]


__all__ = ["Successors"]
