"""Bind a caller's key to the only incarnation that may start the job's tasks."""

from __future__ import annotations

from datetime import datetime
from typing import Literal

from brasstray.job.ids import IncarnationId
from brasstray.job.job_id import JobId
from brasstray.journal.record.journal_record import JournalRecord


class KeyBound(JournalRecord):
    """Bind a caller's key to the only incarnation that may start the job's tasks."""

    kind: Literal["bound"] = "bound"
    job: JobId
    digest: str
    executor: IncarnationId
    task_count: int
    expires: datetime


__all__ = ["KeyBound"]
