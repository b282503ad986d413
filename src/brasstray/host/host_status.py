"""Report the state of a host to operators."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

import msgspec

from brasstray.batch.ids import ConfigVersion, FencingToken, PoolId
from brasstray.job.ids import DataCentreName, HostName, IncarnationId, MinionId

if TYPE_CHECKING:
    from brasstray.host.evacuations import Evacuations
    from brasstray.host.pool_host import PoolHost
    from brasstray.pool.minion import Minion
    from brasstray.pool.owner import PoolOwner


_MILLISECOND = timedelta(milliseconds=1)


class MinionStatus(msgspec.Struct, frozen=True, kw_only=True):
    """Hold the state of a minion; free CPU is in thousandths of a core."""

    id: MinionId
    reach: str
    draining: bool
    suspected: bool
    runs: int
    free_cpu_millis: int
    free_memory_mb: int


class OwnedPoolStatus(msgspec.Struct, frozen=True, kw_only=True):
    """Hold the state of the pool that the host owns.

    `recovered` is true once it is known what the minions run; no task starts before.
    `confirmed_ms_ago` is the time since the store last confirmed the ownership; while
    the store is unavailable, another host may have taken the pool since then.
    """

    pool: PoolId
    token: FencingToken
    confirmed_ms_ago: int
    recovered: bool
    free_slots: int
    wait_ms: int
    minions: tuple[MinionStatus, ...]


class OwnerStatus(msgspec.Struct, frozen=True, kw_only=True):
    """Hold the owner of a pool as far as the host knows.

    `in_reach` is None while no link to the owner is open: this host has no tasks in the
    pool, or the link is still being opened.
    """

    pool: PoolId
    host: HostName
    token: FencingToken
    in_reach: bool | None


class EvacuationStatus(msgspec.Struct, frozen=True, kw_only=True):
    """Hold which data centres are evacuated, and where that was learned.

    `as_of` is the store version at which the set was read, 0 if it was never received;
    `source` is the store, or the host that sent the set.
    """

    data_centres: tuple[DataCentreName, ...]
    as_of: int
    source: str
    heard_ms_ago: int


class HostStatus(msgspec.Struct, frozen=True, kw_only=True):
    """Hold the state of a host: its pool, versions and peers."""

    host: HostName
    incarnation: IncarnationId
    state: str
    config_version: ConfigVersion
    evacuations: EvacuationStatus
    jobs: int
    owned: OwnedPoolStatus | None
    owners: tuple[OwnerStatus, ...]
    requesters: tuple[str, ...]


async def confirmed_status(host: PoolHost) -> HostStatus:
    """Return the status of `host` after confirming its ownership with the store."""
    await host.confirm_owned()
    return host_status(host)


def host_status(host: PoolHost) -> HostStatus:
    """Return the status of `host` as it is known without asking the store."""
    owner = host.owner
    unlinked = host.connectable
    return HostStatus(
        host=host.identity.host,
        incarnation=host.identity.incarnation,
        state=_state(host),
        config_version=host.config.version,
        evacuations=_evacuation_status(host.evacuations),
        jobs=host.coordinator.active_count,
        owned=None
        if owner is None
        else _owned_pool_status(owner, host.owned_confirmed_ago),
        owners=tuple(
            OwnerStatus(
                pool=pool,
                host=owned.owner.host,
                token=owned.token,
                in_reach=None if pool in unlinked else pool in host.reachable,
            )
            for pool, owned in sorted(host.owners.items())
        ),
        requesters=tuple(sorted(link.name for link in host.links)),
    )


def _evacuation_status(evacuations: Evacuations) -> EvacuationStatus:
    return EvacuationStatus(
        data_centres=tuple(sorted(evacuations.current.data_centres)),
        as_of=evacuations.current.as_of,
        source=evacuations.source,
        heard_ms_ago=evacuations.age // _MILLISECOND,
    )


def _state(host: PoolHost) -> str:
    if host.draining:
        return "draining"
    return "ready" if host.ready else "not ready"


def _owned_pool_status(owner: PoolOwner, confirmed_ago: timedelta) -> OwnedPoolStatus:
    load = owner.load()
    return OwnedPoolStatus(
        pool=owner.pool,
        token=owner.token,
        confirmed_ms_ago=confirmed_ago // _MILLISECOND,
        recovered=owner.recovered,
        free_slots=load.free_slots,
        wait_ms=load.wait_ms,
        minions=tuple(_minion_status(minion) for minion in owner.minions),
    )


def _minion_status(minion: Minion) -> MinionStatus:
    return MinionStatus(
        id=minion.entry.id,
        reach=minion.reach.value,
        draining=minion.entry.draining,
        suspected=minion.health.suspected,
        runs=len(minion.runs),
        free_cpu_millis=minion.free_capacity.cpu_millis,
        free_memory_mb=minion.free_capacity.memory_mb,
    )


__all__ = [
    "HostStatus",
    "MinionStatus",
    "OwnedPoolStatus",
    "OwnerStatus",
    "confirmed_status",
    "host_status",
]
