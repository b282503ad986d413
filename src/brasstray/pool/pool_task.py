"""Describe a task that the owner of a pool was asked to run."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from brasstray.batch.ids import RunNumber
    from brasstray.batch.task_name import TaskName
    from brasstray.job.ids import MinionKey
    from brasstray.pool.step_tasks import StepTasks


class TaskPhase(Enum):
    """List the phases of a task.

    CLAIMED: a previous owner had the task, so it must not start before it is known
    whether it still runs somewhere.
    """

    WAITING = "waiting"
    CLAIMED = "claimed"
    PLACED = "placed"


@dataclass(slots=True, eq=False)
class PoolTask:
    """Hold a task, its step, and the results of its runs so far."""

    name: TaskName
    parent_step: StepTasks
    phase: TaskPhase
    last_run: RunNumber
    failures: int = 0
    straggled: bool = False
    avoided: set[MinionKey] = field(default_factory=set)


__all__ = ["PoolTask", "TaskPhase"]
