"""Simulate a key-value store with watches, in memory."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

import anyio

from brasstray.store.entry import StoreEntry
from brasstray.store.errors import (
    HistoryLostError,
    StoreConflictError,
    StoreUnavailableError,
)
from brasstray.store.watchable_store import Changes, Snapshot

if TYPE_CHECKING:
    from collections.abc import Iterable

    from brasstray.clock.clock import Clock
    from brasstray_standins.rate_limited_link import RateLimitedLink

CALL_DELAY = timedelta(milliseconds=4)
# Values are transmitted as base64 text.
BASE64_FACTOR = 4 / 3


class MemoryStore:
    """Hold the entries and their history, which all hosts share.

    Hosts in `cut` can't reach the store. Watches of hosts in `silent_watches` return no
    response while the host is in that set.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._entries: dict[str, StoreEntry] = {}
        self._history: list[StoreEntry] = []
        self._compacted_version = 0
        self._version = 0
        self._change_event = anyio.Event()
        self.down = False
        self.cut: set[str] = set()
        self.silent_watches: set[str] = set()

    def put(self, name: str, value: bytes) -> int:
        """Write unconditionally, as an operator does; return the new version."""
        self._version += 1
        entry = self._entries[name] = StoreEntry(name, value, self._version)
        self._history.append(entry)
        self._notify()
        return self._version

    def remove(self, name: str) -> None:
        """Remove an entry and record the removal in the history."""
        self._version += 1
        self._entries.pop(name, None)
        self._history.append(StoreEntry(name, b"", self._version))
        self._notify()

    def compact(self) -> None:
        """Drop the history; active watches from an older version fail."""
        self._history.clear()
        self._compacted_version = self._version
        self._notify()

    def _notify(self) -> None:
        self._change_event.set()
        self._change_event = anyio.Event()

    def entries(self, prefix: str) -> tuple[StoreEntry, ...]:
        """Return the entries under `prefix`, in order of name."""
        found = [e for n, e in sorted(self._entries.items()) if n.startswith(prefix)]
        return tuple(found)

    async def compare_and_swap(self, name: str, value: bytes, expected: int) -> int:
        """Write if the current version is `expected`; return the new version."""
        found = self._entries.get(name)
        if (found.version if found else 0) != expected:
            raise StoreConflictError(name)
        return self.put(name, value)

    async def watch(self, prefix: str, after: int, wait: timedelta) -> Changes:
        """Return the changes after version `after`, or none once `wait` has passed."""
        with anyio.move_on_after(wait.total_seconds()):
            while not self._changes_since(prefix, after):
                await self._change_event.wait()
                if self._compacted_version > after:
                    raise HistoryLostError(prefix)
        latest = {entry.name: entry for entry in self._changes_since(prefix, after)}
        written = tuple(e for e in latest.values() if e.value)
        removed = tuple(e.name for e in latest.values() if not e.value)
        return Changes(written, removed, self._version)

    def _changes_since(self, prefix: str, after: int) -> list[StoreEntry]:
        return [
            e for e in self._history if e.version > after and e.name.startswith(prefix)
        ]

    def snapshot(self, prefix: str) -> Snapshot:
        """Return all entries under `prefix` and the store's version."""
        return Snapshot(self.entries(prefix), self._version)


class StoreView:
    """Access the store as one host, with its delays, link and failures."""

    def __init__(
        self, store: MemoryStore, host: str, clock: Clock, link: RateLimitedLink
    ) -> None:
        self._store = store
        self._host = host
        self._clock = clock
        self._link = link

    async def _begin_call(self) -> None:
        await self._clock.sleep(CALL_DELAY)
        if self._store.down or self._host in self._store.cut:
            raise StoreUnavailableError("the store cannot be reached")

    async def get(self, name: str) -> StoreEntry | None:
        """Return the entry called `name`, if there is one."""
        await self._begin_call()
        return next((e for e in self._store.entries(name) if e.name == name), None)

    async def compare_and_swap(self, name: str, value: bytes, expected: int) -> int:
        """Write if the current version is `expected`; return the new version."""
        await self._begin_call()
        return await self._store.compare_and_swap(name, value, expected)

    async def scan(self, prefix: str, after: str = "") -> list[StoreEntry]:
        """Return the entries under `prefix` whose names follow `after`."""
        await self._begin_call()
        return [e for e in self._store.entries(prefix) if e.name > after]

    async def delete(self, name: str) -> None:
        """Remove an entry."""
        await self._begin_call()
        self._store.remove(name)

    async def snapshot(self, prefix: str) -> Snapshot:
        """Return all entries under `prefix` and the store's version."""
        await self._begin_call()
        found = self._store.snapshot(prefix)
        await self._receive(found.entries)
        return found

    async def watch(self, prefix: str, after: int, wait: timedelta) -> Changes:
        """Return the changes after version `after`, or none once `wait` has passed."""
        await self._begin_call()
        changes = await self._store.watch(prefix, after, wait)
        while self._host in self._store.silent_watches:
            await self._clock.sleep(wait)
        await self._begin_call()
        await self._receive(changes.written)
        return changes

    async def _receive(self, entries: Iterable[StoreEntry]) -> None:
        size = sum(len(entry.value) for entry in entries)
        await self._link.transmit(int(size * BASE64_FACTOR))


__all__ = ["MemoryStore", "StoreView"]
