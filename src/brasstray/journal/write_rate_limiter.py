"""Keep a leader within its share of the platform's writes."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from brasstray.clock.clock import Clock

_ZERO = timedelta(0)


class WriteRateLimiter:
    """Limit writes to one per interval, with bursts, by the GCRA algorithm."""

    def __init__(self, clock: Clock, interval: timedelta, burst: int) -> None:
        self._clock = clock
        self._interval = interval
        self._burst_tolerance = interval * burst
        self._theoretical_arrival = clock.monotonic()

    async def acquire(self) -> None:
        """Wait until the limit permits one more write, and count it."""
        now = self._clock.monotonic()
        self._theoretical_arrival = max(self._theoretical_arrival, now) + self._interval
        delay = self._theoretical_arrival - now - self._burst_tolerance
        if delay > _ZERO:
            await self._clock.sleep(delay)


__all__ = ["WriteRateLimiter"]
