"""Define the interface of a coordinator to the owners of pools."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from brasstray.batch.ids import PoolId
    from brasstray.peer.pool_messages import PoolMessage
    from brasstray.pool.pool_load import PoolLoad


class Pools(Protocol):
    """Report which pools are reachable, and send messages to their owners."""

    def reachable(self) -> dict[PoolId, PoolLoad]:
        """Return the pools whose owners are reachable, with their load."""

    def connectable(self) -> list[PoolId]:
        """Return the pools that are not reachable yet, but accept requests."""

    def is_evacuated(self, pool: PoolId) -> bool:
        """Return whether `pool` is evacuated: its minions start no new tasks."""

    def all_evacuated(self) -> bool:
        """Return whether every known pool is evacuated, and at least one is known."""

    def send(self, pool: PoolId, message: PoolMessage) -> None:
        """Send `message` to the owner of `pool`; drop it if it cannot be delivered."""


__all__ = ["Pools"]
