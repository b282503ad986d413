"""Estimate how long tasks take, by queue and by minion."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from brasstray.job.ids import MinionKey
    from brasstray.pool.step_tasks import StepTasks

# Weight of one run in the moving averages.
SMOOTHING_FACTOR = 0.1
# A run counts as at most this multiple of its expected duration, so that a hung run
# does not make its minion or queue look slow for long.
MAX_RATIO = 4.0
MIN_EXPECTED_DURATION = timedelta(milliseconds=5)


class Durations:
    """Learn the ratio of actual durations to the callers' estimates.

    `remote_factor` is the factor by which a task is slower on a minion outside the rack
    of its data.
    """

    def __init__(self, remote_factor: float) -> None:
        self._remote_factor = remote_factor
        self._by_queue: dict[str, float] = {}
        self._by_minion: dict[MinionKey, float] = {}

    def expected(
        self, step: StepTasks, minion: MinionKey | None, labels: tuple[str, ...]
    ) -> timedelta:
        """Return the expected duration of a task of `step` on `minion`.

        With None for `minion`, only the queue and the rack are taken into account.
        """
        return max(
            MIN_EXPECTED_DURATION, step.estimate * self.ratio(step, minion, labels)
        )

    def ratio(
        self, step: StepTasks, minion: MinionKey | None, labels: tuple[str, ...]
    ) -> float:
        """Return the ratio of expected to estimated duration of `step` on `minion`."""
        ratio = self._by_queue.get(step.queue, 1.0)
        if minion is not None:
            ratio *= self.slowness(minion)
        if step.rack and labels and step.rack not in labels:
            ratio *= self._remote_factor
        return ratio

    def slowness(self, minion: MinionKey) -> float:
        """Return the ratio of durations on `minion` to those on a typical minion."""
        return self._by_minion.get(minion, 1.0)

    def learn(
        self, step: StepTasks, minion: MinionKey, expected: timedelta, took: timedelta
    ) -> None:
        """Record that a run on `minion` took `took` instead of `expected`."""
        ratio = min(took / expected, MAX_RATIO)
        queue = self._by_queue.get(step.queue, 1.0)
        self._by_queue[step.queue] = queue * (1 + SMOOTHING_FACTOR / 2 * (ratio - 1))
        slowness = self.slowness(minion)
        self._by_minion[minion] = slowness * (1 + SMOOTHING_FACTOR * (ratio - 1))

    def forget(self, minion: MinionKey) -> None:
        """Drop what was learned about a minion that is gone."""
        self._by_minion.pop(minion, None)


__all__ = ["Durations"]
