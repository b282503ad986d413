"""Hold what an owner has learned, as plain data."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping
    from datetime import timedelta

# More runs than this do not make a moving average more certain.
MAX_COUNT = 20
# From so many runs on, a value holds against those of other data centres.
MIN_OWN_COUNT = 5
# A smaller difference from the default is the noise of a moving average; it is a
# natural logarithm. A value of few runs is no noisier, as the average starts from the
# default.
MIN_DIFFERENCE = math.log(1.1)
# A larger ratio, or a smaller one than its inverse, is a fault and nothing learned.
MAX_LEARNED_RATIO = 100.0


@dataclass(frozen=True, slots=True)
class LearnedValue:
    """Hold a ratio to the default, and how certain it is.

    `count` is the number of runs that it rests on, at most MAX_COUNT. `learned_at` is
    the monotonic time of the last one, or up to which the value has faded since.
    """

    ratio: float
    count: int
    learned_at: timedelta

    @property
    def difference(self) -> float:
        """Return how far the value is from the default, as a natural logarithm."""
        return abs(math.log(self.ratio))


@dataclass(frozen=True)
class LearnedValues:
    """Hold the slowness of minions, the ratios of queues and the size of tasks.

    `minions` are filed under the keys of incarnations, `queues` under their names.
    `sizes` has the mean CPU of a task in multiples of the default, under TASK_CPU.
    """

    minions: Mapping[str, LearnedValue] = field(default_factory=dict)
    queues: Mapping[str, LearnedValue] = field(default_factory=dict)
    sizes: Mapping[str, LearnedValue] = field(default_factory=dict)

    @property
    def count(self) -> int:
        """Return the number of values."""
        return len(self.minions) + len(self.queues) + len(self.sizes)

    def oldest_age(self, now: timedelta) -> timedelta | None:
        """Return the age of the oldest value, None without values."""
        tables = (self.minions, self.queues, self.sizes)
        ages = (now - v.learned_at for table in tables for v in table.values())
        return max(ages, default=None)


TASK_CPU = "cpu"
NOTHING_LEARNED = LearnedValues()

__all__ = [
    "MAX_COUNT",
    "MAX_LEARNED_RATIO",
    "MIN_DIFFERENCE",
    "MIN_OWN_COUNT",
    "NOTHING_LEARNED",
    "TASK_CPU",
    "LearnedValue",
    "LearnedValues",
]
