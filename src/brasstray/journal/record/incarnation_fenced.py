"""Revoke an incarnation's right to commit answers."""

from __future__ import annotations

from typing import Literal

from brasstray.job.ids import IncarnationId
from brasstray.journal.record.journal_record import JournalRecord


class IncarnationFenced(JournalRecord):
    """Revoke an incarnation's right to commit answers."""

    kind: Literal["fenced"] = "fenced"
    incarnation: IncarnationId


__all__ = ["IncarnationFenced"]
