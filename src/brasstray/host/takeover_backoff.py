"""Count takeovers of a pool, to wait longer where they follow one another."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from datetime import timedelta

    from brasstray.batch.ids import FencingToken

# A longer timeout would outlast the callers of a dead owner.
MAX_TIMEOUT_FACTOR = 8


class TakeoverBackoff:
    """Remember the owners of the last seconds.

    One death in that time is met at once. From the second takeover on the timeout
    doubles: hosts that see one another badly, as in a partial partition, would
    otherwise take the pool from each other as fast as they can.
    """

    def __init__(self, window: timedelta) -> None:
        self._window = window
        self._newest_token = 0
        self._times: deque[timedelta] = deque(maxlen=16)

    def record_owner(self, token: FencingToken, now: timedelta) -> None:
        """Record the owner under `token`; an owner known before counts once."""
        if token > self._newest_token:
            self._newest_token = token
            self._times.append(now)

    def timeout_factor(self, now: timedelta) -> int:
        """Return how many times as long as usual an owner is waited for."""
        while self._times and now - self._times[0] > self._window:
            self._times.popleft()
        doublings = max(0, len(self._times) - 1)
        return min(MAX_TIMEOUT_FACTOR, 1 << doublings)


__all__ = ["TakeoverBackoff"]
