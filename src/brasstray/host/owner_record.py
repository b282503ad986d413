"""Encode and decode the store entries that record the owner of each pool."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from brasstray.batch.ids import FencingToken, PoolId
from brasstray.job.ids import HostName, IncarnationId

if TYPE_CHECKING:
    from brasstray.store.entry import StoreEntry

POOL_PREFIX = "brasstray/pools/"


class OwnerRecord(msgspec.Struct, frozen=True):
    """Hold the incarnation that owns a pool, and its address."""

    host: HostName
    incarnation: IncarnationId
    address: str
    port: int


class OwnedPool(msgspec.Struct, frozen=True):
    """Hold an owner and its fencing token, which is the version of its store entry.

    Versions in the store only increase, so a later owner always has a higher token and
    no separate counter is needed.
    """

    owner: OwnerRecord
    token: FencingToken


def pool_key(pool: PoolId) -> str:
    """Return the store key of the owner of `pool`."""
    return POOL_PREFIX + pool


def pool_from_key(key: str) -> PoolId:
    """Return the pool whose owner is stored under `key`."""
    return PoolId(key.removeprefix(POOL_PREFIX))


def decode_owned_pool(entry: StoreEntry) -> OwnedPool:
    """Decode `entry`; raise ValueError if its value is malformed."""
    owner = msgspec.json.decode(entry.value, type=OwnerRecord)
    return OwnedPool(owner=owner, token=FencingToken(entry.version))


__all__ = [
    "POOL_PREFIX",
    "OwnedPool",
    "OwnerRecord",
    "decode_owned_pool",
    "pool_from_key",
    "pool_key",
]
