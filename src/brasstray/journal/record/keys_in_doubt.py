"""Mark keys that expire by `until` and have no record as in doubt."""

from __future__ import annotations

from datetime import datetime
from typing import Literal

from brasstray.journal.record.journal_record import JournalRecord


class KeysInDoubt(JournalRecord):
    """Mark keys that expire by `until` and have no record as in doubt."""

    kind: Literal["doubtful"] = "doubtful"
    until: datetime


__all__ = ["KeysInDoubt"]
