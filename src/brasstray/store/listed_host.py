"""Define an entry of the platform's host list."""

from __future__ import annotations

from pydantic import BaseModel, ConfigDict

from brasstray.job.ids import DataCentreName, ServiceName
from brasstray.store.host_kind import HostKind, HostState


class ListedHost(BaseModel):
    """Describe a host as the platform lists it, which may be out of date.

    `port` accepts connections from peers on an entry host, and tasks on a minion.
    """

    model_config = ConfigDict(frozen=True)

    name: str
    kind: HostKind
    data_centre: DataCentreName
    address: str
    port: int
    caller_port: int | None = None
    state: HostState = HostState.LIVE
    service: ServiceName | None = None
    slots: int = 8
    connections: int = 60


__all__ = ["ListedHost"]
