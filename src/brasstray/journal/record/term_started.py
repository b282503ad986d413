"""Start a leader's term and end the previous one."""

from __future__ import annotations

from typing import Literal

from brasstray.job.ids import IncarnationId
from brasstray.journal.record.journal_record import JournalRecord


class TermStarted(JournalRecord):
    """Start a leader's term and end the previous one."""

    kind: Literal["term"] = "term"
    term: int
    leader: IncarnationId
    replicas: list[IncarnationId]


__all__ = ["TermStarted"]
