"""Hand the pool of this host over to a considerably more powerful host."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

from brasstray.host.succession import MIN_TENURE, rank_successors, should_hand_over

if TYPE_CHECKING:
    from collections.abc import Callable

    from brasstray.batch.ids import PoolId
    from brasstray.clock.clock import Clock
    from brasstray.host.host_events import HostEvents
    from brasstray.host.requester_links import RequesterLinks


class PoolHandover:
    """Request that the most powerful reachable host take over, once per tenure."""

    def __init__(
        self,
        pool: PoolId,
        power: float,
        links: RequesterLinks,
        clock: Clock,
        events: HostEvents,
    ) -> None:
        self._pool = pool
        self._power = power
        self._links = links
        self._clock = clock
        self._events = events
        self._requested = False
        self._owned_since = timedelta(0)

    @property
    def requested(self) -> bool:
        """Return whether another host has been requested to take over the pool."""
        return self._requested

    def start_tenure(self) -> None:
        """Record that this host owns the pool from now on."""
        self._owned_since = self._clock.monotonic()
        self._requested = False

    def end_tenure(self) -> None:
        """Record that this host no longer owns the pool."""
        self._requested = False

    async def watch(self, may_hand_over: Callable[[], bool]) -> None:
        """Request a handover when one pays off and `may_hand_over` allows it."""
        while True:
            await self._clock.sleep(MIN_TENURE)
            if may_hand_over() and not self._requested:
                self._request_if_due()

    def _request_if_due(self) -> None:
        tenure = self._clock.monotonic() - self._owned_since
        powers = self._links.powers
        if should_hand_over(self._power, powers.values(), tenure):
            self._requested = True
            self._events.pool_moving(self._pool, rank_successors(powers)[0])
            self._links.send_state()


__all__ = ["PoolHandover"]
