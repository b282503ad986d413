"""Define the interface to the platform's key-value service."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from brasstray.store.entry import StoreEntry

ABSENT = 0


class Store(Protocol):
    """Read and write small values; every method may raise StoreUnavailableError."""

    async def get(self, name: str) -> StoreEntry | None:
        """Return the entry called `name`, if there is one."""

    async def swap(self, name: str, value: bytes, expected: int) -> int:
        """Write `value` if the version is `expected` (ABSENT: no entry yet).

        Return the new version; raise StoreConflictError if it was another.
        """

    async def scan(self, prefix: str, after: str = "") -> list[StoreEntry]:
        """Return a page of entries under `prefix` named beyond `after`, in order."""

    async def delete(self, name: str) -> None:
        """Remove the entry called `name`, if there is one."""


__all__ = ["ABSENT", "Store"]
