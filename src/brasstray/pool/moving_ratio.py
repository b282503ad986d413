"""Average the ratios of observed to expected values."""

from __future__ import annotations

import math
from dataclasses import dataclass
from datetime import timedelta

from brasstray.pool.learned_merge import freshness
from brasstray.pool.learned_values import MAX_COUNT, LearnedValue

# An observation counts as at most this multiple of what was expected, so that a hung
# run does not make its minion or queue look slow for long.
MAX_RATIO = 4.0
# Only runs shorter than any expected duration could lower a ratio to this.
MIN_RATIO = 1e-6
# An adopted value is corrected fast for this many observations, by up to this share of
# the error each: an adopted value that is wrong must not last for longer.
PROBATION = 10
MAX_PROBATION_WEIGHT = 0.35


@dataclass(slots=True)
class MovingRatio:
    """Average ratios; `count` observations were made, the last at `learned_at`.

    `probation` is the number of observations for which an adopted value is corrected
    fast if it is wrong.
    """

    ratio: float = 1.0
    count: int = 0
    learned_at: timedelta = timedelta(0)
    probation: int = 0

    @property
    def value(self) -> LearnedValue:
        """Return the average as plain data."""
        return LearnedValue(self.ratio, self.count, self.learned_at)

    def observe(
        self, observed: float, weight: float, now: timedelta, share: float = 1.0
    ) -> None:
        """Include a ratio of observed to expected value with `weight`.

        `share` is the part of the error that this average may correct where others
        correct the rest.
        """
        observed = min(observed, MAX_RATIO)
        if self.probation:
            self.probation -= 1
            error = math.log(max(observed, 1 / MAX_RATIO))
            fast = share * min(abs(error), MAX_PROBATION_WEIGHT)
            self.ratio *= math.exp(max(weight, fast) * error)
        else:
            self.ratio *= 1 + weight * (observed - 1)
        self.ratio = max(self.ratio, MIN_RATIO)
        self.record(now)

    def record(self, now: timedelta) -> None:
        """Count an observation that was made at `now`; old ones count less."""
        left = self.count * freshness(self.value, now)
        self.count = min(math.ceil(left) + 1, MAX_COUNT)
        self.learned_at = now


def adopted(value: LearnedValue) -> MovingRatio:
    """Return an average that starts from a value learned elsewhere."""
    return MovingRatio(value.ratio, value.count, value.learned_at, PROBATION)


__all__ = ["MAX_RATIO", "MIN_RATIO", "PROBATION", "MovingRatio", "adopted"]
