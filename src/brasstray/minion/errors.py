"""Define the errors of starting a task on a minion."""

from __future__ import annotations

from enum import Enum


class RetryReason(Enum):
    """List the reasons why a start returned no result."""

    CONNECTION_REFUSED = "connection_refused"
    CONNECTION_LOST = "connection_lost"
    FULL = "full"
    LEAVING = "leaving"
    SILENT = "silent"
    TASK_FAILED = "task_failed"


class MinionError(Exception):
    """Base class of the errors in this module."""

    def __init__(self, reason: RetryReason) -> None:
        super().__init__(reason.value)
        self._reason = reason

    @property
    def reason(self) -> RetryReason:
        """Return why the start returned no result."""
        return self._reason


class TaskNotRunError(MinionError):
    """The task is known not to have run."""


class TaskMayHaveRunError(MinionError):
    """The task may have run, in part or whole."""


__all__ = ["MinionError", "RetryReason", "TaskMayHaveRunError", "TaskNotRunError"]
