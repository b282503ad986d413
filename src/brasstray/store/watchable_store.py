"""Define the interface to a key-value service that tells of changes."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

from brasstray.store.store import Store

if TYPE_CHECKING:
    from datetime import timedelta

    from brasstray.store.entry import StoreEntry


@dataclass(frozen=True)
class Snapshot:
    """Hold entries, and the store's version that they are at least as new as."""

    entries: tuple[StoreEntry, ...]
    as_of: int


@dataclass(frozen=True)
class Changes:
    """Hold what was written and removed after a version, and the version reached."""

    written: tuple[StoreEntry, ...]
    removed: tuple[str, ...]
    as_of: int


class WatchableStore(Store, Protocol):
    """Read, write and watch small values."""

    async def snapshot(self, prefix: str) -> Snapshot:
        """Return all entries under `prefix`; raise StoreUnavailableError."""

    async def watch(self, prefix: str, after: int, wait: timedelta) -> Changes:
        """Return the changes under `prefix` after a version, once there are any.

        Return none after `wait`. Raise HistoryLostError if they are not known any more.
        """


__all__ = ["Changes", "Snapshot", "WatchableStore"]
