"""Read the list of minions from the platform's store."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from brasstray.batch.resources import Resources
from brasstray.job.ids import DataCentreName, MinionId, ServiceName
from brasstray.platform.body import Body, UnreadableBodyError
from brasstray.pool.minion_entry import MinionEntry

if TYPE_CHECKING:
    from brasstray.platform.platform_store import PlatformStore
    from brasstray.store.entry import StoreEntry

SERVERS_PREFIX = "servers/"
_DRAINING = "draining"


class CapacityBody(Body, frozen=True, kw_only=True):
    """Hold a minion's resources; `cpu` counts thousandths of a core."""

    cpu: int = 0
    mem_mb: int = 0
    gpu: int = 0


class ServerBody(Body, frozen=True, kw_only=True):
    """Describe a minion; its id is the key's last part only."""

    service: str
    address: str
    zone: str
    state: str = "ready"
    capacity: CapacityBody = msgspec.field(default_factory=CapacityBody)
    labels: list[str] = msgspec.field(default_factory=list)


class MinionListing:
    """Read the entries that minions write under their ids."""

    def __init__(self, store: PlatformStore) -> None:
        self._store = store

    async def minions(self, data_centre: DataCentreName) -> list[MinionEntry]:
        """Return the minions listed in `data_centre`, of all services."""
        found = await self._store.snapshot(SERVERS_PREFIX)
        entries = [_minion(entry) for entry in found.entries]
        return [e for e in entries if e is not None and e.data_centre == data_centre]


def _minion(entry: StoreEntry) -> MinionEntry | None:
    try:
        body = ServerBody.decode(entry.value)
        host, _, port = body.address.rpartition(":")
        return MinionEntry(
            MinionId(entry.name.removeprefix(SERVERS_PREFIX)),
            ServiceName(body.service),
            DataCentreName(body.zone),
            host,
            int(port),
            Resources(body.capacity.cpu, body.capacity.mem_mb, body.capacity.gpu),
            tuple(body.labels),
            body.state == _DRAINING,
        )
    except (UnreadableBodyError, ValueError):
        # An entry in a format that this version does not know is no minion to it.
        return None


__all__ = ["MinionListing"]
