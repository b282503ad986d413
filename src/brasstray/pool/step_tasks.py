"""Describe the tasks of one step that a requester asked for."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from datetime import timedelta

    from brasstray.batch.ids import BatchId
    from brasstray.batch.resources import Resources
    from brasstray.job.ids import MinionKey, ServiceName
    from brasstray.pool.pool_task import PoolTask
    from brasstray.pool.requester import Requester


@dataclass(slots=True, eq=False)
class StepTasks:
    """Hold what the tasks of one step of a job have in common.

    `due` is the deadline of the job's objective, `useful_until` the time up to which a
    late answer still has some value, and `limit` the time at which the caller gives up;
    all are monotonic times. `forwarded` marks tasks that came from another pool and are
    not forwarded again. `admitted` marks steps that were to end in time when they were
    first planned. `slowdowns` maps minions to the ratio of actual to expected
    duration of the tasks observed there.
    """

    batch: BatchId
    step: int
    requester: Requester
    service: ServiceName
    spec: str
    needs: Resources
    estimate: timedelta
    arrived: timedelta
    due: timedelta
    useful_until: timedelta
    limit: timedelta
    priority: int
    attempts: int
    rack: str
    label: str
    max_per_minion: int
    forwarded: bool
    queue: str
    width: int
    begun: bool = False
    admitted: bool = False
    slowdowns: dict[MinionKey, float] = field(default_factory=dict)
    tasks: dict[int, PoolTask] = field(default_factory=dict)
    waiting: list[PoolTask] = field(default_factory=list)

    @property
    def partial(self) -> bool:
        """Return whether other tasks of the step have been started or are elsewhere."""
        return self.begun or len(self.tasks) < self.width

    def work(self, expected: timedelta, count: int) -> float:
        """Return the work of `count` tasks in core seconds."""
        return expected.total_seconds() * self.needs.cpu_millis / 1_000 * count

    def best_slowdown_elsewhere(self, minion: MinionKey) -> float | None:
        """Return the lowest slowdown on other minions, or None if none is known."""
        others = [ratio for other, ratio in self.slowdowns.items() if other != minion]
        return min(others, default=None)


__all__ = ["StepTasks"]
