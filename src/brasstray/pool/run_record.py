"""Track one run of a task on a minion."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from datetime import timedelta

    from brasstray.batch.ids import RunNumber
    from brasstray.batch.resources import Resources
    from brasstray.batch.task_name import TaskName
    from brasstray.pool.pool_task import PoolTask


class RunState(Enum):
    """Tell what is known of a run.

    OUTCOME_UNKNOWN: its start had no response, so it may begin at any time from now.
    """

    STARTING = "starting"
    ACTIVE = "active"
    OUTCOME_UNKNOWN = "outcome_unknown"
    STOPPING = "stopping"


@dataclass(slots=True, eq=False)
class RunRecord:
    """Hold a run from before its start is sent until its end is known.

    `task` is None for a run that an earlier owner started and nobody has claimed yet,
    or that is no longer wanted. `size_known` is false until a run of an earlier owner
    is claimed: nobody else can tell what it uses. `cold` marks a run that began while
    its minion was slow after its start.
    """

    name: TaskName
    run: RunNumber
    needs: Resources
    began: timedelta
    expected: timedelta
    state: RunState
    task: PoolTask | None
    percent: int = 0
    size_known: bool = True
    cold: bool = False


__all__ = ["RunRecord", "RunState"]
