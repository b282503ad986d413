"""Record the only answer that may be given to a job's caller."""

from __future__ import annotations

from datetime import datetime
from typing import Literal

from brasstray.job.ids import IncarnationId
from brasstray.job.job_id import JobId
from brasstray.job.outcome import Outcome
from brasstray.journal.record.journal_record import JournalRecord


class JobAnswered(JournalRecord):
    """Record the only answer that may be given to a job's caller."""

    kind: Literal["answered"] = "answered"
    job: JobId
    executor: IncarnationId
    outcome: Outcome
    digest: str
    expires: datetime


__all__ = ["JobAnswered"]
