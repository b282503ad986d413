"""Simulate a network link whose bandwidth is shared fairly between its senders."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from brasstray.clock.clock import Clock

# How many bytes a sender transmits before the next sender gets the link: two full
# packets.
CHUNK_BYTES = 3_000


class RateLimitedLink:
    """Simulate one direction of a host's network link.

    `rate` is in bytes per second; None means unlimited.
    """

    def __init__(self, clock: Clock, rate: float | None) -> None:
        self._clock = clock
        self._rate = rate
        self._free_at = timedelta(0)
        self._bytes_sent = 0

    @property
    def bytes_sent(self) -> int:
        """Return the number of transmitted bytes."""
        return self._bytes_sent

    async def transmit(self, size: int) -> None:
        """Return once `size` bytes have been transmitted."""
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
