"""Back off from claiming a pool that was taken over several times in a row."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from datetime import timedelta

    from brasstray.batch.ids import FencingToken

# A longer timeout would outlast the callers of a dead owner.
MAX_TIMEOUT_FACTOR = 8


class TakeoverBackoff:
    """Count the owners of a pool within the last `window`.

    One takeover changes nothing. From the second takeover on the timeout
    doubles: hosts with unreliable links, as in a partial partition, would
    otherwise take the pool from each other as fast as they can.
    """

    def __init__(self, window: timedelta) -> None:
        self._window = window
        self._newest = 0
        self._times: deque[timedelta] = deque(maxlen=16)

    def record_owner(self, token: FencingToken, now: timedelta) -> None:
        """Record the owner with `token`, unless it or a later one is known already."""
        if token > self._newest:
            self._newest = token
            self._times.append(now)

    def timeout_factor(self, now: timedelta) -> int:
        """Return the factor by which to multiply the wait for an owner."""
        while self._times and now - self._times[0] > self._window:
            self._times.popleft()
        doublings = max(0, len(self._times) - 1)
        return min(MAX_TIMEOUT_FACTOR, 1 << doublings)


__all__ = ["TakeoverBackoff"]
