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
# How long after a suspension requests may still be read that arrived during it.
BACKLOG_TIME = timedelta(milliseconds=100)


class SuspensionDetector:
    """Compare the time between two checks with the longest that it may take.

    A resumed process runs its overdue timers and reads its sockets in any order, so
    whatever relies on what was known before calls `check` first. A periodic check
    bounds the time between two of them.

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
        self._checked_at = uptime()
        self._resumed_at = self._checked_at
        self._suspended_for = timedelta(0)

    @property
    def possible_request_age(self) -> timedelta:
        """Return how long a request that is handled now may have waited unread."""
        if self._uptime() - self._resumed_at >= BACKLOG_TIME:
            return timedelta(0)
        return self._suspended_for

    def check(self) -> None:
        """Discard outdated state if the process was suspended since the last check."""
        now = self._uptime()
        elapsed, self._checked_at = now - self._checked_at, now
        if elapsed >= self._timing.suspension_threshold:
            self._resumed_at, self._suspended_for = now, elapsed
            self._events.suspended(elapsed // _MILLISECOND)
            self._on_suspended()

    async def run(self) -> None:
        """Check periodically, and report late timers, until cancelled."""
        # Nothing was known before.
        self._checked_at = self._uptime()
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
            self.check()


__all__ = ["SuspensionDetector"]
