"""Learn how much CPU a typical task needs."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from brasstray.pool.learned_merge import fade
from brasstray.pool.learned_values import MIN_OWN_COUNT, TASK_CPU
from brasstray.pool.moving_ratio import MovingRatio, adopted

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping
    from datetime import timedelta

    from brasstray.batch.resources import Resources
    from brasstray.pool.learned_values import LearnedValue

# Weight of one request in the moving average.
TASK_SIZE_SMOOTHING = 0.05
DEFAULT_TASK_CPU_MILLIS = 1_000.0
# During the probation of an adopted mean, a request counts as many: a wrong mean must
# be corrected by about ten of them.
PROBATION_WEIGHT = 8


class TaskSize:
    """Average the CPU of requested tasks."""

    def __init__(self, now: Callable[[], timedelta]) -> None:
        self._now = now
        self._mean: MovingRatio | None = None

    @property
    def learned(self) -> dict[str, LearnedValue]:
        """Return the mean in multiples of the default, if there is one."""
        return {} if self._mean is None else {TASK_CPU: self._mean.value}

    @property
    def cpu_millis(self) -> float:
        """Return the mean in milli-CPUs, a default before the first request."""
        ratio = 1.0 if self._mean is None else self._mean.ratio
        return ratio * DEFAULT_TASK_CPU_MILLIS

    def observe(self, needs: Resources) -> None:
        """Update the average with the resources of a requested task."""
        size = max(1, needs.cpu_millis) / DEFAULT_TASK_CPU_MILLIS
        if self._mean is None:
            self._mean = MovingRatio(size)
        repeats = 1
        if self._mean.probation:
            self._mean.probation -= 1
            repeats = PROBATION_WEIGHT
        for _ in range(repeats):
            self._mean.ratio += TASK_SIZE_SMOOTHING * (size - self._mean.ratio)
        self._mean.record(self._now())

    def adopt(self, sizes: Mapping[str, LearnedValue]) -> list[LearnedValue]:
        """Start from a mean learned elsewhere if there is none; return it if used."""
        value = sizes.get(TASK_CPU)
        if value is None or self._mean is not None:
            return []
        self._mean = adopted(value)
        return [value]

    def adopt_remote(self, sizes: Mapping[str, LearnedValue]) -> list[LearnedValue]:
        """Start from what is left of a mean of another data centre, if there is none.

        It adds nothing to the count: else it would return to where it came from as new.
        """
        value = sizes.get(TASK_CPU)
        if value is None:
            return []
        faded = fade(value, self._now())
        if faded.count < MIN_OWN_COUNT:
            return []
        return self.adopt({TASK_CPU: replace(faded, count=0)}) and [value]


__all__ = ["TaskSize"]
