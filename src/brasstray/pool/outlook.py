"""Show whether the minions of a pool differ, and when the busy ones have room."""

from __future__ import annotations

from functools import cached_property
from math import ceil
from statistics import median
from typing import TYPE_CHECKING

from brasstray.pool.finish_time import RunEndEstimate, room_at, run_ends
from brasstray.pool.minion import Reachability

if TYPE_CHECKING:
    from collections.abc import Iterable
    from datetime import timedelta

    from brasstray.pool.durations import Durations
    from brasstray.pool.minion import Minion
    from brasstray.pool.pool_task import PoolTask
    from brasstray.pool.step_tasks import StepTasks

# Minions that differ by less make no job late, as objectives leave that much time.
UNEVEN_RATIO = 1.5
# At least this part of the minions must differ: a few that ran long tasks seem slow.
UNEVEN_PART = 0.2
# Bounds the work of one dispatch. Where more tasks wait than this, there is too little
# capacity, and slow minions have to be used as well.
MAX_RESERVATIONS = 16


class Outlook:
    """Hold what is expected of a pool's minions during one dispatch.

    Tasks that wait for a minion reserve the room there, so that the next one does not
    wait for the same room.
    """

    def __init__(
        self, minions: Iterable[Minion], durations: Durations, now: timedelta
    ) -> None:
        self._minions = [m for m in minions if m.reach is Reachability.LEASED]
        self._durations = durations
        self._now = now
        self._reserved: dict[Minion, int] = {}
        self._reservations = 0

    @property
    def reservations(self) -> int:
        """Return how many tasks wait for a busy minion."""
        return self._reservations

    @cached_property
    def uneven(self) -> bool:
        """Return whether a part of the minions differs much from the middle one."""
        if not self._slownesses:
            return False
        ordered = sorted(self._slownesses)
        middle, count = median(ordered), ceil(len(ordered) * UNEVEN_PART)
        return (
            ordered[-count] > middle * UNEVEN_RATIO
            or ordered[count - 1] * UNEVEN_RATIO < middle
        )

    @cached_property
    def slowest(self) -> float:
        """Return the greatest slowness of a minion."""
        return max(self._slownesses, default=1.0)

    @cached_property
    def _fastest(self) -> float:
        return min(self._slownesses, default=1.0)

    @cached_property
    def _slownesses(self) -> list[float]:
        return [self._durations.slowness(m.entry.key) for m in self._minions]

    @cached_property
    def _busy(self) -> list[tuple[Minion, list[RunEndEstimate]]]:
        """Return the minions that may be waited for; the first to have an end first."""
        found = [
            (minion, ends)
            for minion in self._minions
            if minion.health.max_runs(self._now) is None
            and not minion.entry.draining
            and not minion.is_cold(self._now)
            and (ends := run_ends(minion.runs.values(), self._now))
        ]
        return sorted(found, key=lambda item: item[1][0].at)

    def first_end(self, task: PoolTask) -> tuple[Minion, timedelta] | None:
        """Return the busy minion where `task` would end first, and when."""
        if self._reservations >= MAX_RESERVATIONS:
            return None
        step = task.parent_step
        least = self.shortest(step)
        best: tuple[Minion, timedelta] | None = None
        for minion, ends in self._busy:
            if best is not None and ends[0].at + least >= best[1]:
                break
            if minion.entry.key in task.avoided or not _may_wait_for(step, minion):
                continue
            free = minion.free_cpu_millis - self._reserved.get(minion, 0)
            at = room_at(ends, free, step.needs.cpu_millis, self._now)
            if at is None:
                continue
            entry = minion.entry
            end = at + self._durations.expected(step, entry.key, entry.labels)
            if best is None or end < best[1]:
                best = minion, end
        return best

    def shortest(self, step: StepTasks) -> timedelta:
        """Return the expected duration of a task of `step` on the fastest minion."""
        return self._durations.expected(step, None, ()) * self._fastest

    def reserve(self, step: StepTasks, minion: Minion) -> None:
        """Record that a task of `step` waits for `minion`."""
        reserved = self._reserved.get(minion, 0)
        self._reserved[minion] = reserved + step.needs.cpu_millis
        self._reservations += 1


def _may_wait_for(step: StepTasks, minion: Minion) -> bool:
    entry = minion.entry
    if minion.free_cpu_millis >= step.needs.cpu_millis:
        return False
    if entry.service != step.service or not step.needs.fits(entry.capacity):
        return False
    if step.label and step.label not in entry.labels:
        return False
    return not step.max_per_minion or minion.runs_of(step) < step.max_per_minion


__all__ = ["Outlook"]
