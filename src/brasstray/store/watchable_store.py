"""Define the interface to a key-value service that reports changes."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

from brasstray.store.store import Store

if TYPE_CHECKING:
    from datetime import timedelta

    from brasstray.store.entry import StoreEntry


@dataclass(frozen=True)
class Snapshot:
    """Hold entries that are at least as new as the store's version `as_of`."""

    entries: tuple[StoreEntry, ...]
    as_of: int


@dataclass(frozen=True)
class Changes:
    """Hold the writes and removals after a version, up to version `as_of`."""

    written: tuple[StoreEntry, ...]
    removed: tuple[str, ...]
    as_of: int


class WatchableStore(Store, Protocol):
    """Read, write and watch small values."""

    async def snapshot(self, prefix: str) -> Snapshot:
        """Return all entries under `prefix`; raise StoreUnavailableError."""

    async def watch(self, prefix: str, after: int, wait: timedelta) -> Changes:
        """Wait for changes under `prefix` after version `after`, and return them.

        Return no changes if there are none within `wait`. Raise HistoryLostError if the
        store no longer has the changes since `after`.
        """


__all__ = ["Changes", "Snapshot", "WatchableStore"]
