"""Define what the owner of a pool sees of other pools."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from brasstray.batch.ids import PoolId
    from brasstray.pool.pool_load import PoolLoad


class OtherPools(Protocol):
    """Tell the load of other pools that are reachable, as last reported.

    Pools of evacuated data centres are none to send tasks to, and left out.
    """

    def loads(self) -> dict[PoolId, PoolLoad]:
        """Return the loads by pool."""

    def expected(self) -> bool:
        """Tell whether a pool may be reachable soon to which a link is being opened."""

    def reserve_slots(self, pool: PoolId, count: int) -> None:
        """Count `count` slots of `pool` as used until it reports its load again."""


__all__ = ["OtherPools"]
