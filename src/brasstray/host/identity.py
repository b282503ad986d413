"""Identify a host and the address at which peers reach it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from brasstray.job.ids import DataCentreName, HostName, IncarnationId


@dataclass(frozen=True)
class HostIdentity:
    """Hold the names and the peer address of an incarnation of a host.

    `power` is the share of a core that it has, times the core's speed.
    """

    host: HostName
    data_centre: DataCentreName
    incarnation: IncarnationId
    address: str
    peer_port: int
    power: float = 1.0


__all__ = ["HostIdentity"]
