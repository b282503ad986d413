"""Define how a coordinator reaches the owners of pools."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from brasstray.batch.ids import PoolId
    from brasstray.peer.pool_messages import PoolMessage
    from brasstray.pool.pool_load import PoolLoad


class Pools(Protocol):
    """Reach the owners of pools."""

    def reachable(self) -> dict[PoolId, PoolLoad]:
        """Return the pools whose owners are reachable, with their load."""

    def unasked(self) -> list[PoolId]:
        """Return pools of which nothing is known, but which may be asked."""

    def is_evacuated(self, pool: PoolId) -> bool:
        """Return whether the minions of `pool` get nothing new."""

    def all_evacuated(self) -> bool:
        """Return whether no pool is known whose minions get anything new."""

    def tell(self, pool: PoolId, message: PoolMessage) -> None:
        """Send `message` to the owner of `pool`; drop it if that is unreachable."""


__all__ = ["Pools"]
