"""Have a much stronger host take the pool that this one owns."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

from brasstray.host.succession import SHORTEST_TENURE, better_moved, successors

if TYPE_CHECKING:
    from collections.abc import Callable

    from brasstray.batch.ids import PoolId
    from brasstray.clock.clock import Clock
    from brasstray.host.host_events import HostEvents
    from brasstray.host.requester_links import RequesterLinks


class PoolHandover:
    """Ask the strongest reachable host to take the pool, once in a tenure."""

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
        self._asked = False
        self._owned_since = timedelta(0)

    @property
    def asked(self) -> bool:
        """Return whether another host is being asked to take the pool."""
        return self._asked

    def begin(self) -> None:
        """Record that this host owns the pool from now on."""
        self._owned_since = self._clock.monotonic()
        self._asked = False

    def end(self) -> None:
        """Record that this host owns the pool no more."""
        self._asked = False

    async def watch(self, may_move: Callable[[], bool]) -> None:
        """Ask whenever the pool is better moved, and `may_move` allows it."""
        while True:
            await self._clock.sleep(SHORTEST_TENURE)
            if may_move() and not self._asked:
                self._ask_if_better()

    def _ask_if_better(self) -> None:
        held = self._clock.monotonic() - self._owned_since
        powers = self._links.powers
        if better_moved(self._power, powers.values(), held):
            self._asked = True
            self._events.pool_moving(self._pool, successors(powers)[0])
            self._links.tell_state()


__all__ = ["PoolHandover"]
