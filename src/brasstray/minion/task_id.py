"""Identify one task of a job."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from brasstray.job.job_id import JobId


@dataclass(frozen=True)
class TaskId:
    """Identify a task by its job and its index in the job."""

    job: JobId
    index: int

    def text(self) -> str:
        """Return the ID in the form that is sent to minions."""
        return f"{self.job.caller}/{self.job.key}/{self.index}"


__all__ = ["TaskId"]
