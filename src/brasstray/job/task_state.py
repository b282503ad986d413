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

    def to(self, after: TaskState) -> TaskState:
        """Return `after`, or raise TransitionError if this state cannot precede it."""
        if after not in _FOLLOWERS[self]:
            raise TransitionError(f"a task cannot go from {self.name} to {after.name}")
        return after


# SENT goes back to PENDING if the task is known not to have run, or is repeatable.
_FOLLOWERS = {
    TaskState.PENDING: (TaskState.SENT, TaskState.NOT_RUN),
    TaskState.SENT: (TaskState.DONE, TaskState.PENDING, TaskState.MAY_HAVE_RUN),
    TaskState.DONE: (),
    TaskState.NOT_RUN: (),
    TaskState.MAY_HAVE_RUN: (),
}

__all__ = ["TaskState"]
