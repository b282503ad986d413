"""Read the list of minions from the platform's store."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING, Annotated, Any

import msgspec

from brasstray.batch.limits import MAX_RESOURCES
from brasstray.batch.resources import Resources
from brasstray.job.ids import DataCentreName, MinionId, ServiceName
from brasstray.platform.body import Body, UnreadableBodyError
from brasstray.platform.minion_bodies import read_born
from brasstray.pool.minion_entry import MinionEntry
from brasstray.settings.endpoint import parse_endpoint

if TYPE_CHECKING:
    from collections.abc import Callable

    from brasstray.platform.store_client import StoreClient
    from brasstray.store.entry import StoreEntry

SERVERS_PREFIX = "servers/"
_DRAINING_BY_STATE = {"ready": False, "draining": True}
# No minion takes this long to warm up; larger values are invalid and are capped.
MAX_WARM_UP_MS = 600_000
# The id is sent to the minion in a header, so it must hold no line break or space.
_MINION_ID = re.compile(r"[!-~]{1,200}")


class CapacityBody(Body, frozen=True, kw_only=True):
    """Hold a minion's resources; `cpu` is in thousandths of a core."""

    cpu: Annotated[int, msgspec.Meta(ge=0, le=MAX_RESOURCES.cpu_millis)]
    mem_mb: Annotated[int, msgspec.Meta(ge=0, le=MAX_RESOURCES.memory_mb)]
    gpu: Annotated[int, msgspec.Meta(ge=0, le=MAX_RESOURCES.gpus)] = 0


class ServerBody(Body, frozen=True, kw_only=True):
    """Describe a minion; its id is the last part of the entry's key.

    `cold_left_ms` is the remaining warm-up time when the entry was written. `born` is
    the minion's start as written by it, of any type.
    """

    service: str
    address: str
    zone: str
    state: str
    capacity: CapacityBody
    labels: tuple[str, ...] = ()
    cold_left_ms: float = 0
    born: Any = msgspec.field(default=msgspec.UNSET, name="born")


class MinionListing:
    """Read the entries that minions write to the store under their ids."""

    def __init__(
        self, store: StoreClient, on_ignored: Callable[[str, str], None]
    ) -> None:
        self._store = store
        self._on_ignored = on_ignored

    async def minions(self, data_centre: DataCentreName) -> list[MinionEntry]:
        """Return the minions listed in `data_centre`, of all services.

        Entries with missing or mistyped fields or an unknown state, as other programs
        may write, are reported as ignored, so that the remaining minions stay usable.
        """
        found = await self._store.snapshot(SERVERS_PREFIX)
        entries = []
        for entry in found.entries:
            try:
                entries.append(parse_minion_entry(entry))
            except UnreadableBodyError as error:
                self._on_ignored(entry.name, str(error))
        return [entry for entry in entries if entry.data_centre == data_centre]


def parse_minion_entry(entry: StoreEntry) -> MinionEntry:
    """Decode the minion in `entry`; raise UnreadableBodyError if it is invalid."""
    name = entry.name.removeprefix(SERVERS_PREFIX)
    if not _MINION_ID.fullmatch(name):
        raise UnreadableBodyError(f"invalid minion id {name!r}")
    body = ServerBody.decode_strictly(entry.value)
    if body.state not in _DRAINING_BY_STATE:
        raise UnreadableBodyError(f"unknown state {body.state!r}")
    try:
        endpoint = parse_endpoint(body.address)
    except ValueError as error:
        raise UnreadableBodyError(
            f"invalid address {body.address!r}: expected {error}"
        ) from error
    try:
        born = read_born(body.born)
    except ValueError as error:
        raise UnreadableBodyError(str(error)) from error
    return MinionEntry(
        MinionId(name),
        ServiceName(body.service),
        DataCentreName(body.zone),
        endpoint.address,
        endpoint.port,
        Resources(body.capacity.cpu, body.capacity.mem_mb, body.capacity.gpu),
        body.labels,
        _DRAINING_BY_STATE[body.state],
        int(max(0.0, min(body.cold_left_ms, MAX_WARM_UP_MS))),
        born,
    )


__all__ = ["MinionListing", "parse_minion_entry"]
