"""Describe the free capacity of a pool and the expected wait of a new task."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from brasstray.clock.bounded import bounded_ms

if TYPE_CHECKING:
    from datetime import timedelta


@dataclass(frozen=True)
class PoolLoad:
    """Hold the load of a pool as other hosts know it.

    `excess` is the number of tasks sent to the pool beyond the free slots in its last
    report. `waits_ms` are the waits by priority, the last for all lower ones, and
    `age_ms` is how long ago the pool reported them.
    """

    free_slots: int = 0
    wait_ms: int = 0
    excess: int = 0
    waits_ms: tuple[int, ...] = ()
    age_ms: int = 0

    def wait(self, priority: int) -> timedelta:
        """Return how long a new task of `priority` would wait; 0 goes first."""
        if not self.waits_ms:
            return bounded_ms(self.wait_ms)
        number = min(max(0, priority), len(self.waits_ms) - 1)
        return bounded_ms(self.waits_ms[number])


__all__ = ["PoolLoad"]
