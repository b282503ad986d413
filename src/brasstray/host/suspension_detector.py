"""Detect that the process was suspended, so that other hosts may have replaced it."""

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
    """Compare the actual duration of each sleep with the requested one.

    `uptime` is a clock that advances while the machine is suspended. `is_active` tells
    whether a pool is owned or a job is active; `on_suspended` discards state that may
    be out of date.
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
        """Report late timers and suspensions until cancelled."""
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
