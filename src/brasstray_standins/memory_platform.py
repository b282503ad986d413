"""Simulate the platform's key-value store and host list in memory."""

from __future__ import annotations

from itertools import count
from typing import TYPE_CHECKING

import anyio

from brasstray.store.entry import StoreEntry
from brasstray.store.errors import StoreConflictError, StoreUnavailableError
from brasstray.store.store import ABSENT
from brasstray_standins.platform_faults import PlatformFaults

if TYPE_CHECKING:
    from datetime import timedelta

    from brasstray.clock.clock import Clock
    from brasstray.store.listed_host import ListedHost

PAGE_ENTRIES = 500
MAX_VALUE_BYTES = 1_000_000


class MemoryPlatform:
    """Store versioned entries with leases, and a list of hosts."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._faults = PlatformFaults()
        self._entries: dict[str, StoreEntry] = {}
        self._lease_of: dict[str, int] = {}
        self._lease_expiry: dict[int, timedelta] = {}
        self._versions = count(1)
        self._leases = count(1)
        self._hosts: list[ListedHost] = []
        self._visible_hosts: list[ListedHost] = []
        self._change_event = anyio.Event()
        self._calls = 0

    @property
    def faults(self) -> PlatformFaults:
        """Return the injected faults, which may be changed."""
        return self._faults

    @property
    def calls(self) -> int:
        """Return the number of calls."""
        return self._calls

    def list_hosts(self, hosts: list[ListedHost]) -> None:
        """Replace the host list; readers see the new one once it is not frozen."""
        self._hosts = list(hosts)

    async def _begin_call(self) -> None:
        self._calls += 1
        await self._clock.sleep(self._faults.delay)
        if self._faults.down:
            raise StoreUnavailableError("the platform is down")
        self._expire()

    def _maybe_lose_reply(self) -> None:
        if self._faults.lose_replies > 0:
            self._faults.lose_replies -= 1
            raise StoreUnavailableError("the reply was lost")

    def _expire(self) -> None:
        now = self._clock.monotonic()
        ended = {lease for lease, end in self._lease_expiry.items() if end <= now}
        for lease in ended:
            del self._lease_expiry[lease]
        for name in [n for n, lease in self._lease_of.items() if lease in ended]:
            self._remove(name)

    def _remove(self, name: str) -> None:
        self._entries.pop(name, None)
        self._lease_of.pop(name, None)
        self._notify()

    def _notify(self) -> None:
        self._change_event.set()
        self._change_event = anyio.Event()

    async def get(self, name: str) -> StoreEntry | None:
        """Return the entry called `name`, if there is one."""
        await self._begin_call()
        return self._entries.get(name)

    async def compare_and_swap(
        self, name: str, value: bytes, expected: int, lease: int | None = None
    ) -> int:
        """Write `value` if the version is `expected`; return the new version."""
        await self._begin_call()
        if len(value) > MAX_VALUE_BYTES:
            raise StoreConflictError(
                f"{name}: the value is larger than {MAX_VALUE_BYTES} bytes"
            )
        current = self._entries.get(name)
        if (current.version if current else ABSENT) != expected:
            raise StoreConflictError(name)
        version = next(self._versions)
        self._entries[name] = StoreEntry(name, value, version)
        if lease is not None:
            self._lease_of[name] = lease
        self._notify()
        self._maybe_lose_reply()
        return version

    async def scan(self, prefix: str, after: str = "") -> list[StoreEntry]:
        """Return a page of entries under `prefix`, in order of name, after `after`."""
        await self._begin_call()
        names = sorted(n for n in self._entries if n.startswith(prefix) and n > after)
        return [self._entries[name] for name in names[:PAGE_ENTRIES]]

    async def delete(self, name: str) -> None:
        """Remove the entry called `name`, if there is one."""
        await self._begin_call()
        self._remove(name)
        self._maybe_lose_reply()

    async def grant(self, duration: timedelta) -> int:
        """Return a new lease that expires after `duration` unless renewed."""
        await self._begin_call()
        lease = next(self._leases)
        self._lease_expiry[lease] = self._clock.monotonic() + duration
        return lease

    async def keep_alive(self, lease: int, duration: timedelta) -> bool:
        """Renew `lease`; return False if it has expired."""
        await self._begin_call()
        if lease not in self._lease_expiry:
            return False
        self._lease_expiry[lease] = self._clock.monotonic() + duration
        return True

    async def watch(
        self, prefix: str, since: int, timeout: timedelta
    ) -> list[StoreEntry]:
        """Return entries under `prefix` newer than `since`; wait for one if none is."""
        await self._begin_call()
        with anyio.move_on_after(timeout.total_seconds()):
            while not (found := self._entries_since(prefix, since)):
                await self._change_event.wait()
            return found
        return []

    def _entries_since(self, prefix: str, since: int) -> list[StoreEntry]:
        entries = self._entries.values()
        return [e for e in entries if e.name.startswith(prefix) and e.version > since]

    async def hosts(self) -> list[ListedHost]:
        """Return the host list, or the last one read before it was frozen."""
        await self._begin_call()
        if not self._faults.freeze_host_list:
            self._visible_hosts = list(self._hosts)
        return list(self._visible_hosts)


__all__ = ["MemoryPlatform"]
