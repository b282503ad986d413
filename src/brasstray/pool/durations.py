"""Estimate how long tasks take, by queue and by minion."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

from brasstray.pool.learned_merge import merge_remote
from brasstray.pool.learned_table import MAX_QUEUES
from brasstray.pool.learned_values import LearnedValue, LearnedValues
from brasstray.pool.moving_ratio import MAX_RATIO, MovingRatio, adopted

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from brasstray.job.ids import MinionKey
    from brasstray.pool.step_tasks import StepTasks

# Weight of one run in the moving averages.
SMOOTHING_FACTOR = 0.1
# Part of an error that the queue corrects; the minion corrects it as well.
QUEUE_SHARE = 0.5
MIN_EXPECTED_DURATION = timedelta(milliseconds=5)


class Durations:
    """Learn the ratio of actual durations to the callers' estimates.

    `remote_factor` is the factor by which a task is slower on a minion outside the rack
    of its data. `now` returns the monotonic time at which runs are observed.
    """

    def __init__(
        self,
        remote_factor: float,
        now: Callable[[], timedelta] = lambda: timedelta(0),
    ) -> None:
        self._remote_factor = remote_factor
        self._now = now
        self._by_queue: dict[str, MovingRatio] = {}
        self._by_minion: dict[str, MovingRatio] = {}
        # Values of queues before remote ones were merged into them.
        self._own_values: dict[str, LearnedValue] = {}

    @property
    def learned(self) -> LearnedValues:
        """Return the ratios of queues and minions, with their counts and ages."""
        return LearnedValues(
            {key: mean.value for key, mean in self._by_minion.items()},
            {name: mean.value for name, mean in self._by_queue.items()},
        )

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
        queue = self._by_queue.get(step.queue)
        ratio = 1.0 if queue is None else queue.ratio
        if minion is not None:
            ratio *= self.slowness(minion)
        if step.rack and labels and step.rack not in labels:
            ratio *= self._remote_factor
        return ratio

    def slowness(self, minion: MinionKey) -> float:
        """Return the ratio of durations on `minion` to those on a typical minion."""
        mean = self._by_minion.get(minion)
        return 1.0 if mean is None else mean.ratio

    def learn(
        self,
        step: StepTasks,
        minion: MinionKey,
        expected: timedelta,
        took: timedelta,
        labels: tuple[str, ...] = (),
    ) -> None:
        """Record that a run on `minion` took `took` instead of `expected`."""
        now = self._now()
        # Many runs may have begun under one estimate. Measured against it, each of them
        # would correct the same error again.
        took = min(took, expected * MAX_RATIO)
        observed = took / self.expected(step, minion, labels)
        queue = self._by_queue.setdefault(step.queue, MovingRatio())
        queue.observe(observed, SMOOTHING_FACTOR * QUEUE_SHARE, now, QUEUE_SHARE)
        mean = self._by_minion.setdefault(minion, MovingRatio())
        mean.observe(observed, SMOOTHING_FACTOR, now)

    def forget(self, minion: MinionKey) -> None:
        """Drop what was learned about a minion that is gone."""
        self._by_minion.pop(minion, None)

    def adopt(self, values: LearnedValues) -> None:
        """Start from what earlier owners of the pool have learned."""
        for means, found in (
            (self._by_minion, values.minions),
            (self._by_queue, values.queues),
        ):
            means.update((key, adopted(value)) for key, value in found.items())

    def adopt_remote(self, queues: Mapping[str, LearnedValue]) -> list[LearnedValue]:
        """Use what other data centres have learned where little is known here.

        Return the values that were used.
        """
        used, now = [], self._now()
        for queue, remote in queues.items():
            mean = self._by_queue.get(queue)
            if mean is None and len(self._by_queue) >= MAX_QUEUES:
                continue
            own = self._own_value(queue, now)
            in_force = own.ratio if mean is None else mean.ratio
            merged = merge_remote(own, remote, now, in_force)
            if merged is not None:
                self._own_values[queue] = own
                self._by_queue[queue] = adopted(merged)
                used.append(remote)
        return used

    def _own_value(self, queue: str, now: timedelta) -> LearnedValue:
        """Return the value of `queue` before a remote one was merged into it.

        After a run it is the merged one, of which the run has corrected a part.
        """
        mean = self._by_queue.get(queue)
        if mean is None:
            return LearnedValue(1.0, 0, now)
        own = self._own_values.get(queue)
        if own is not None and (own.count, own.learned_at) == (
            mean.count,
            mean.learned_at,
        ):
            return own
        return mean.value


__all__ = ["MAX_RATIO", "Durations"]
