"""Measure how late this process gets to what is due."""

from __future__ import annotations

from datetime import timedelta

# The allowance decays over seconds, as bursts of work come in series.
DECAY_FACTOR = 0.991
# A larger allowance would let the probes in a row outlast a lease, so that the death of
# a minion is detected late.
MAX_ALLOWANCE = timedelta(milliseconds=150)


class LoopLag:
    """Hold the largest recent lag.

    Guards against taking an answer for lost that is there but has not been read yet.
    Where a host is slow and calls all its minions at once, as a new owner does, every
    call would time out, be made again on a new connection, and cost so much processor
    time that none ever succeeds.
    """

    def __init__(self) -> None:
        self._lag = timedelta(0)

    def observe(self, late: timedelta) -> None:
        """Record that a timer fired late by `late`."""
        self._lag = max(late, self._lag * DECAY_FACTOR)

    @property
    def allowance(self) -> timedelta:
        """Return how much longer than usual to wait for an answer."""
        return min(self._lag, MAX_ALLOWANCE)


__all__ = ["MAX_ALLOWANCE", "LoopLag"]
