"""Define the view that the owner of a pool has of other pools."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from brasstray.batch.ids import PoolId
    from brasstray.pool.pool_load import PoolLoad


class OtherPools(Protocol):
    """Provide the last reported load of other reachable pools.

    Pools of evacuated data centres are left out, as no tasks may be sent to them.
    """

    def loads(self) -> dict[PoolId, PoolLoad]:
        """Return the loads by pool."""

    def any_connectable(self) -> bool:
        """Return whether a link is being opened that may soon make a pool reachable."""

    def reserve_slots(self, pool: PoolId, count: int) -> None:
        """Count `count` slots of `pool` as used until its next load report."""


__all__ = ["OtherPools"]
