"""Mark all earlier terms as recovered: written to the journal, or in doubt."""

from __future__ import annotations

from typing import Literal

from brasstray.journal.record.journal_record import JournalRecord


class RecoveryCompleted(JournalRecord):
    """Mark all earlier terms as recovered: written to the journal, or in doubt."""

    kind: Literal["recovered"] = "recovered"
    term: int


__all__ = ["RecoveryCompleted"]
