"""Learn how long tasks take, by queue and by minion."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from brasstray.job.ids import MinionId
    from brasstray.pool.step_tasks import StepTasks

# Weight of one run in the moving averages.
SMOOTHING_FACTOR = 0.1
# A run counts as at most this many times its estimate, so that one that hung
# does not make a minion or a queue look slow for long.
MAX_RATIO = 4.0
MIN_EXPECTED_DURATION = timedelta(milliseconds=5)


class Durations:
    """Hold the learned ratio of durations to callers' estimates.

    `remote_factor` is how many times as long a task takes away from its data.
    """

    def __init__(self, remote_factor: float) -> None:
        self._remote_factor = remote_factor
        self._by_queue: dict[str, float] = {}
        self._by_minion: dict[MinionId, float] = {}

    def expected(
        self, step: StepTasks, minion: MinionId | None, labels: tuple[str, ...]
    ) -> timedelta:
        """Return how long a task of `step` should take on `minion`."""
        return max(
            MIN_EXPECTED_DURATION, step.estimate * self.ratio(step, minion, labels)
        )

    def ratio(
        self, step: StepTasks, minion: MinionId | None, labels: tuple[str, ...]
    ) -> float:
        """Return how many times its estimate a task of `step` takes on `minion`."""
        ratio = self._by_queue.get(step.queue, 1.0)
        if minion is not None:
            ratio *= self._by_minion.get(minion, 1.0)
        if step.rack and labels and step.rack not in labels:
            ratio *= self._remote_factor
        return ratio

    def learn(
        self, step: StepTasks, minion: MinionId, expected: timedelta, took: timedelta
    ) -> None:
        """Note that a run expected to last `expected` on `minion` took `took`."""
        ratio = min(took / expected, MAX_RATIO)
        queue = self._by_queue.get(step.queue, 1.0)
        self._by_queue[step.queue] = queue * (1 + SMOOTHING_FACTOR / 2 * (ratio - 1))
        speed = self._by_minion.get(minion, 1.0)
        self._by_minion[minion] = speed * (1 + SMOOTHING_FACTOR * (ratio - 1))

    def forget(self, minion: MinionId) -> None:
        """Drop what is known of a minion that has gone."""
        self._by_minion.pop(minion, None)


__all__ = ["Durations"]
