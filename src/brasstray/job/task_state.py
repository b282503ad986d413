"""Define the states of a task."""

from __future__ import annotations

from enum import Enum

from brasstray.job.errors import TransitionError


class TaskState(Enum):
    """Describe the progress of a task."""

    PENDING = "pending"
    SENT = "sent"
    DONE = "done"
    NOT_RUN = "not run"
    MAY_HAVE_RUN = "may have run"

    def transition_to(self, next_state: TaskState) -> TaskState:
        """Return `next_state`, or raise TransitionError if it is not allowed next."""
        if next_state not in _TRANSITIONS[self]:
            raise TransitionError(
                f"a task cannot go from {self.name} to {next_state.name}"
            )
        return next_state


# SENT goes back to PENDING if the task is known not to have run, or is repeatable.
_TRANSITIONS = {
    TaskState.PENDING: (TaskState.SENT, TaskState.NOT_RUN),
    TaskState.SENT: (TaskState.DONE, TaskState.PENDING, TaskState.MAY_HAVE_RUN),
    TaskState.DONE: (),
    TaskState.NOT_RUN: (),
    TaskState.MAY_HAVE_RUN: (),
}

__all__ = ["TaskState"]
