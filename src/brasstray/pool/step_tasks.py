"""Hold the tasks of one step that a requester asked for."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from datetime import timedelta

    from brasstray.batch.ids import BatchId
    from brasstray.batch.resources import Resources
    from brasstray.job.ids import MinionId, ServiceName
    from brasstray.pool.pool_task import PoolTask
    from brasstray.pool.requester import Requester


@dataclass(slots=True, eq=False)
class StepTasks:
    """Hold what the tasks of one step of a job have in common.

    `due` is when the job's objective ends, `useful` until when a late answer is of some
    use, and `limit` when its caller leaves, all on the steady clock. `forwarded` marks
    tasks that came from another pool and stay here. `paces` holds, by minion, actual
    over expected durations of the tasks seen there.
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
    useful: timedelta
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
    paces: dict[MinionId, float] = field(default_factory=dict)
    tasks: dict[int, PoolTask] = field(default_factory=dict)
    waiting: list[PoolTask] = field(default_factory=list)

    def pace_elsewhere(self, minion: MinionId) -> float | None:
        """Return the best pace of tasks on other minions, if any was seen."""
        others = [ratio for where, ratio in self.paces.items() if where != minion]
        return min(others, default=None)


__all__ = ["StepTasks"]
