"""Track one task while its job runs."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from brasstray.job.task_state import TaskState

if TYPE_CHECKING:
    from pydantic import JsonValue

    from brasstray.job.request import TaskRequest


@dataclass
class TaskRun:
    """Hold a task, its state, its result and its send counts.

    `send_count` counts all sends; `repeat_count` counts the times that the task may
    have run and was to be sent again.
    """

    index: int
    request: TaskRequest
    state: TaskState = TaskState.PENDING
    value: JsonValue = None
    send_count: int = 0
    repeat_count: int = 0

    def advance(self, next_state: TaskState) -> None:
        """Change to `next_state`; raise TransitionError if that is not allowed."""
        self.state = self.state.transition_to(next_state)

    def finalize(self) -> None:
        """Change to the final state that follows from the end of the job."""
        match self.state:
            case TaskState.PENDING:
                self.advance(TaskState.NOT_RUN)
            case TaskState.SENT:
                self.advance(TaskState.MAY_HAVE_RUN)


__all__ = ["TaskRun"]
