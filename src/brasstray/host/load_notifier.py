"""Notify other owners when a pool gains free slots or has none left."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from brasstray.clock.clock import Clock
    from brasstray.host.timing import HostTiming
    from brasstray.pool.owner import PoolOwner


class LoadNotifier:
    """Report changes of free slots between heartbeats.

    Under load, a slot stays free for about 10 ms. With heartbeats alone, tasks waited
    in one data centre while slots were free in another.
    """

    def __init__(
        self,
        clock: Clock,
        timing: HostTiming,
        owner: Callable[[], PoolOwner | None],
        notify: Callable[[], None],
    ) -> None:
        self._clock = clock
        self._timing = timing
        self._owner = owner
        self._notify = notify
        self._reported = 0

    async def run(self) -> None:
        """Report changes until cancelled."""
        while True:
            owner = self._owner()
            if owner is None:
                await self._clock.sleep(self._timing.heartbeat_interval)
                continue
            await owner.wait_for_change()
            await self._clock.sleep(self._timing.load_notice_interval)
            self._notify_if_changed()

    def _notify_if_changed(self) -> None:
        owner = self._owner()
        free = 0 if owner is None else owner.load().free_slots
        if free > self._reported or (self._reported and not free):
            self._reported = free
            self._notify()
        else:
            self._reported = min(self._reported, free)


__all__ = ["LoadNotifier"]
