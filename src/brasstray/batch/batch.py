"""Define a job that is kept in memory only and answered once it has ended."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from brasstray.batch.ids import BatchId
    from brasstray.batch.step import Step


@dataclass(frozen=True)
class Batch:
    """Hold a job's id, its payload (`spec`) and its steps."""

    id: BatchId
    spec: str
    steps: tuple[Step, ...]


__all__ = ["Batch"]
