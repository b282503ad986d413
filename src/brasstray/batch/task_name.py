"""Define the identifier of a task."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from brasstray.batch.ids import BatchId


@dataclass(frozen=True, slots=True, order=True)
class TaskName:
    """Identify a task by job, step and index; all runs of the task share it."""

    batch: BatchId
    step: int
    index: int


__all__ = ["TaskName"]
