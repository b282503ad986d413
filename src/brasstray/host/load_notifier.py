"""Notify other owners at once when a pool gains or loses free slots."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from brasstray.clock.clock import Clock
    from brasstray.host.timing import HostTiming
    from brasstray.pool.owner import PoolOwner


class LoadNotifier:
    """Report free slots between heartbeats.

    A place is free for some 10 ms under load: with heartbeats alone, tasks waited in
    one data centre while slots were free in another.
    """

    def __init__(
        self,
        clock: Clock,
        timing: HostTiming,
        owner: Callable[[], PoolOwner | None],
        tell: Callable[[], None],
    ) -> None:
        self._clock = clock
        self._timing = timing
        self._owner = owner
        self._tell = tell
        self._told = 0

    async def run(self) -> None:
        """Tell of each change until cancelled."""
        while True:
            owner = self._owner()
            if owner is None:
                await self._clock.sleep(self._timing.ping)
                continue
            await owner.wait_for_change()
            await self._clock.sleep(self._timing.load_notice_interval)
            self._tell_change()

    def _tell_change(self) -> None:
        owner = self._owner()
        free = 0 if owner is None else owner.load().free_slots
        if free > self._told or (self._told and not free):
            self._told = free
            self._tell()
        else:
            self._told = min(self._told, free)


__all__ = ["LoadNotifier"]
