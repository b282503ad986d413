"""Count takeovers of a pool, to wait longer where they follow one another."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from datetime import timedelta

    from brasstray.batch.ids import FencingToken

# A longer timeout would outlast the callers of a dead owner.
LARGEST_FACTOR = 8


class TakeoverBackoff:
    """Remember the owners of the last seconds.

    One death in that time is met at once. From the second takeover on the timeout
    doubles: hosts that see one another badly, as in a partial partition, would
    otherwise take the pool from each other as fast as they can.
    """

    def __init__(self, memory: timedelta) -> None:
        self._memory = memory
        self._newest = 0
        self._times: deque[timedelta] = deque(maxlen=16)

    def note(self, token: FencingToken, now: timedelta) -> None:
        """Record the owner under `token`; an owner known before counts once."""
        if token > self._newest:
            self._newest = token
            self._times.append(now)

    def timeout_factor(self, now: timedelta) -> int:
        """Return how many times as long as usual an owner is waited for."""
        while self._times and now - self._times[0] > self._memory:
            self._times.popleft()
        doublings = max(0, len(self._times) - 1)
        return min(LARGEST_FACTOR, 1 << doublings)


__all__ = ["TakeoverBackoff"]
