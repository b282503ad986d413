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
        is_active: Callable[[], bool],
        on_suspended: Callable[[], None],
    ) -> None:
        self._clock = clock
        self._uptime = uptime
        self._timing = timing
        self._events = events
        self._is_active = is_active
        self._on_suspended = on_suspended

    async def run(self) -> None:
        """Watch until cancelled."""
        last = self._uptime()
        while True:
            timing = self._timing
            pause = timing.tick if self._is_active() else timing.idle_tick
            await self._clock.sleep(pause)
            now = self._uptime()
            elapsed = now - last
            last = now
            if elapsed - pause >= timing.late_threshold:
                self._events.loop_late((elapsed - pause) // _MILLISECOND)
            if elapsed >= timing.suspension_threshold:
                self._events.suspended(elapsed // _MILLISECOND)
                self._on_suspended()


__all__ = ["SuspensionDetector"]
