"""Spread the callers that were refused over the time in which they can be served."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

from brasstray.pool.decayed_work import DecayedWork

if TYPE_CHECKING:
    from random import Random

# Jobs served over this time show how many more can be.
SERVED_PERIOD = timedelta(seconds=2)
# A later return would cost a caller more than another refusal.
MAX_SPREAD = timedelta(seconds=5)
MAX_PROMISES = 1_000


class RetrySpread:
    """Choose when each refused caller may return, the most urgent first.

    Those of one priority return over the time in which as many are served.
    """

    def __init__(self, random: Random) -> None:
        self._random = random
        self._served: DecayedWork[int] = DecayedWork(SERVED_PERIOD)
        self._promises: list[tuple[timedelta, int]] = []

    def record_served(self, priority: int, now: timedelta) -> None:
        """Count a job of `priority` that was served."""
        self._served.add(priority, 1.0, now)

    def choose(self, priority: int, earliest: timedelta, now: timedelta) -> timedelta:
        """Return how long a refused caller should wait, at least `earliest`."""
        self._promises = [p for p in self._promises if p[0] > now][-MAX_PROMISES:]
        ahead = sum(known <= priority for _, known in self._promises)
        wait = earliest + self._turn(priority, ahead, now)
        self._promises.append((now + wait, priority))
        return wait

    def _turn(self, priority: int, ahead: int, now: timedelta) -> timedelta:
        """Return when one job more can be served than the `ahead` before it."""
        if not ahead:
            return timedelta(0)
        rate = self._served.rate(priority, now)
        if ahead < rate * MAX_SPREAD.total_seconds():
            turn = timedelta(seconds=(ahead + self._random.random()) / rate)
            return min(turn, MAX_SPREAD)
        return MAX_SPREAD * self._random.random()


__all__ = ["MAX_SPREAD", "RetrySpread"]
