"""Keep a leader's writes within its share of the platform's write rate."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from brasstray.clock.clock import Clock

_NONE = timedelta(0)


class WriteRateLimiter:
    """Limit writes to one per interval, with bursts, by the GCRA algorithm."""

    def __init__(self, clock: Clock, interval: timedelta, burst: int) -> None:
        self._clock = clock
        self._interval = interval
        self._allowance = interval * burst
        self._theoretical = clock.monotonic()

    async def spend(self) -> None:
        """Wait until the limit permits one more write, and count it."""
        now = self._clock.monotonic()
        self._theoretical = max(self._theoretical, now) + self._interval
        early = self._theoretical - now - self._allowance
        if early > _NONE:
            await self._clock.sleep(early)


__all__ = ["WriteRateLimiter"]
