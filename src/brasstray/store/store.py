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

    async def compare_and_swap(self, name: str, value: bytes, expected: int) -> int:
        """Write `value` if the entry's version is `expected`; return the new version.

        ABSENT expects that there is no entry. Raise StoreConflictError if the version
        differs.
        """

    async def scan(self, prefix: str, after: str = "") -> list[StoreEntry]:
        """Return a page of the entries under `prefix` after `after`, sorted by name."""

    async def delete(self, name: str) -> None:
        """Remove the entry called `name`, if there is one."""


__all__ = ["ABSENT", "Store"]
