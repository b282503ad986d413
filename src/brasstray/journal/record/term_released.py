"""End a term, by its own leader, after all of its records were flushed."""

from __future__ import annotations

from typing import Literal

from brasstray.journal.record.journal_record import JournalRecord


class TermReleased(JournalRecord):
    """End a term, by its own leader, after all of its records were flushed."""

    kind: Literal["released"] = "released"
    term: int


__all__ = ["TermReleased"]
