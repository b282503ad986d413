"""Detect that the process was suspended, while others acted for it."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from brasstray.clock.clock import Clock
    from brasstray.host.host_events import HostEvents
    from brasstray.host.timing import HostTiming

_MILLISECOND = timedelta(milliseconds=1)


class SuspensionDetector:
    """Compare how long a pause took with how long it was meant to take.

    `uptime` goes on while the machine is suspended. `at_work` tells whether a pool is
    owned or a job is at work, and `distrust` drops what was known.
    """

    def __init__(
        self,
        clock: Clock,
        uptime: Callable[[], timedelta],
        timing: HostTiming,
        events: HostEvents,
        at_work: Callable[[], bool],
        distrust: Callable[[], None],
    ) -> None:
        self._clock = clock
        self._uptime = uptime
        self._timing = timing
        self._events = events
        self._at_work = at_work
        self._distrust = distrust

    async def run(self) -> None:
        """Watch until cancelled."""
        last = self._uptime()
        while True:
            timing = self._timing
            pause = timing.tick if self._at_work() else timing.calm_tick
            await self._clock.sleep(pause)
            now = self._uptime()
            stood = now - last
            last = now
            if stood - pause >= timing.late:
                self._events.loop_late((stood - pause) // _MILLISECOND)
            if stood >= timing.freeze:
                self._events.suspended(stood // _MILLISECOND)
                self._distrust()


__all__ = ["SuspensionDetector"]
