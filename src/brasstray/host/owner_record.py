"""Describe who owns a pool, as the store keeps it."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from brasstray.batch.ids import FencingToken, PoolId
from brasstray.job.ids import HostName, IncarnationId

if TYPE_CHECKING:
    from brasstray.store.entry import StoreEntry

POOL_PREFIX = "brasstray/pools/"


class OwnerRecord(msgspec.Struct, frozen=True):
    """Hold the incarnation that owns a pool and where it is reached."""

    host: HostName
    incarnation: IncarnationId
    address: str
    port: int


class OwnedPool(msgspec.Struct, frozen=True):
    """Hold an owner and its fencing token, which is the version of its entry.

    The store's versions only rise, so a later owner has a higher token without any
    count of our own.
    """

    owner: OwnerRecord
    token: FencingToken


def pool_key(pool: PoolId) -> str:
    """Return the name under which the owner of `pool` is kept."""
    return POOL_PREFIX + pool


def pool_from_key(key: str) -> PoolId:
    """Return the pool whose owner is kept under `key`."""
    return PoolId(key.removeprefix(POOL_PREFIX))


def owned_pool(entry: StoreEntry) -> OwnedPool:
    """Return what `entry` says; raise ValueError if it says nothing readable."""
    owner = msgspec.json.decode(entry.value, type=OwnerRecord)
    return OwnedPool(owner=owner, token=FencingToken(entry.version))


__all__ = [
    "POOL_PREFIX",
    "OwnedPool",
    "OwnerRecord",
    "owned_pool",
    "pool_from_key",
    "pool_key",
]
