"""Carry bytes at a limited rate, fairly between all who send at the same time."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from brasstray.clock.clock import Clock

# What one sender puts on the link before the next one's turn: two full packets.
CHUNK_BYTES = 3_000


class RateLimitedLink:
    """Stand in for one direction of a machine's network link.

    `rate` is in bytes a second; None takes no time.
    """

    def __init__(self, clock: Clock, rate: float | None) -> None:
        self._clock = clock
        self._rate = rate
        self._free_at = timedelta(0)
        self._bytes_sent = 0

    @property
    def bytes_sent(self) -> int:
        """Return how many bytes have passed."""
        return self._bytes_sent

    async def transmit(self, size: int) -> None:
        """Return once `size` bytes have passed."""
        self._bytes_sent += size
        if self._rate is None:
            return
        remaining = size
        while remaining > 0:
            chunk = min(remaining, CHUNK_BYTES)
            remaining -= chunk
            now = self._clock.monotonic()
            starts_at = max(now, self._free_at)
            self._free_at = starts_at + timedelta(seconds=chunk / self._rate)
            await self._clock.sleep(self._free_at - now)


__all__ = ["RateLimitedLink"]
