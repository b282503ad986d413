"""Describe a job that is answered when it has ended and is not stored."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from brasstray.batch.ids import BatchId
    from brasstray.batch.step import Step


@dataclass(frozen=True)
class Batch:
    """Hold a job's id, its payload and its steps."""

    id: BatchId
    spec: str
    steps: tuple[Step, ...]


__all__ = ["Batch"]
