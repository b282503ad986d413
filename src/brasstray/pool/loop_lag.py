"""Measure how late this process gets to what is due."""

from __future__ import annotations

from datetime import timedelta

# Of the lag, 64% is still allowed for a second later at 50 notes a second: a burst of
# work comes again soon, and a calm process trusts its measure again within seconds.
DECAY = 0.991
# More would let four looks in a row outlast the lease of 800 ms by far, so that a dead
# minion is found out late.
LARGEST_ALLOWANCE = timedelta(milliseconds=150)


class LoopLag:
    """Hold the largest recent lag.

    Guards against taking an answer for lost that is there but has not been read yet.
    Where a host is slow and calls all its minions at once, as a new owner does, every
    call would time out, be made again on a new connection, and cost so much processor
    time that none ever succeeds.
    """

    def __init__(self) -> None:
        self._lag = timedelta(0)

    def note(self, late: timedelta) -> None:
        """Record that a timer fired late by `late`."""
        self._lag = max(late, self._lag * DECAY)

    @property
    def allowance(self) -> timedelta:
        """Return how much longer than usual to wait for an answer."""
        return min(self._lag, LARGEST_ALLOWANCE)


__all__ = ["LARGEST_ALLOWANCE", "LoopLag"]
