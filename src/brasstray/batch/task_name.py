"""Name one task of a job."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from brasstray.batch.ids import BatchId


@dataclass(frozen=True, slots=True, order=True)
class TaskName:
    """Tell a task from every other; the same in every run of it."""

    batch: BatchId
    step: int
    index: int


__all__ = ["TaskName"]
