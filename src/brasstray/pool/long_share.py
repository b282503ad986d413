"""Learn how often a run that looks like a straggler is a long task."""

from __future__ import annotations

# What is assumed before anything was learned: the minion is at fault in three of four
# cases. A wrong restart delays one task, a bad minion that is kept delays many.
ASSUMED_LONG = 1.0
ASSUMED_SLOW = 3.0
# The weight of what was learned before, at each new case: the last ten or so count.
DECAY = 0.9


class LongShare:
    """Count the cases in which the cause became certain."""

    def __init__(self) -> None:
        self._long = 0.0
        self._slow = 0.0

    @property
    def value(self) -> float:
        """Return how likely the next case is a long task."""
        long = self._long + ASSUMED_LONG
        return long / (long + self._slow + ASSUMED_SLOW)

    def record(self, *, long: bool) -> None:
        """Record a case whose cause is certain."""
        self._long = self._long * DECAY + long
        self._slow = self._slow * DECAY + (not long)


__all__ = ["LongShare"]
