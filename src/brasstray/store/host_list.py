"""Define the interface to the platform's host list."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from brasstray.store.listed_host import ListedHost


class HostList(Protocol):
    """Read the list of live and leaving hosts."""

    async def hosts(self) -> list[ListedHost]:
        """Return the list; raise StoreUnavailableError if it can't be read."""


__all__ = ["HostList"]
