"""Hold one task while its job runs."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from brasstray.job.task_state import TaskState

if TYPE_CHECKING:
    from pydantic import JsonValue

    from brasstray.job.request import TaskRequest


@dataclass
class TaskRun:
    """Hold a task, its state, its result and how often it was sent."""

    index: int
    request: TaskRequest
    state: TaskState = TaskState.PENDING
    value: JsonValue = None
    send_count: int = 0
    repeat_count: int = 0

    def advance(self, next_state: TaskState) -> None:
        """Move on to state `after`; raise TransitionError if it cannot follow."""
        self.state = self.state.to(next_state)

    def finalize(self) -> None:
        """Move on to the final state that the job's end leaves this task in."""
        match self.state:
            case TaskState.PENDING:
                self.advance(TaskState.NOT_RUN)
            case TaskState.SENT:
                self.advance(TaskState.MAY_HAVE_RUN)


__all__ = ["TaskRun"]
