"""Name one task of a job."""

from __future__ import annotations

from typing import NamedTuple

from brasstray.batch.ids import BatchId


class TaskName(NamedTuple):
    """Tell a task from every other; the same in every run of it."""

    batch: BatchId
    step: int
    index: int


__all__ = ["TaskName"]
