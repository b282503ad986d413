"""Measure how late this process handles its timers."""

from __future__ import annotations

from datetime import timedelta

# Factor per observation. The allowance decays over seconds, as bursts of work come in
# series.
DECAY_FACTOR = 0.991
# With a larger allowance, consecutive probes could outlast a lease, and the death of a
# minion would be detected late.
MAX_ALLOWANCE = timedelta(milliseconds=150)


class LoopLag:
    """Track the largest recent lag of the event loop.

    Guards against treating a reply as lost that has arrived but has not been read yet.
    When a slow host calls all its minions at once, as a new owner does, every call
    would time out, be repeated on a new connection, and cost so much processor time
    that none ever succeeds.
    """

    def __init__(self) -> None:
        self._lag = timedelta(0)

    def observe(self, late: timedelta) -> None:
        """Record that a timer fired `late` after it was due."""
        self._lag = max(late, self._lag * DECAY_FACTOR)

    @property
    def allowance(self) -> timedelta:
        """Return the time to add to the timeouts of calls."""
        return min(self._lag, MAX_ALLOWANCE)


__all__ = ["MAX_ALLOWANCE", "LoopLag"]
