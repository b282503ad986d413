"""Combine the journal's record types in a tagged union."""

from __future__ import annotations

from typing import Annotated

from pydantic import Field

from brasstray.journal.record.incarnation_fenced import IncarnationFenced
from brasstray.journal.record.job_answered import JobAnswered
from brasstray.journal.record.key_bound import KeyBound
from brasstray.journal.record.keys_in_doubt import KeysInDoubt
from brasstray.journal.record.recovery_completed import RecoveryCompleted
from brasstray.journal.record.term_released import TermReleased
from brasstray.journal.record.term_started import TermStarted

Record = Annotated[
    KeyBound
    | JobAnswered
    | IncarnationFenced
    | TermStarted
    | TermReleased
    | RecoveryCompleted
    | KeysInDoubt,
    Field(discriminator="kind"),
]

__all__ = [
    "JobAnswered",
    "KeyBound",
    "IncarnationFenced",
    "KeysInDoubt",
    "Record",
    "RecoveryCompleted",
    "TermReleased",
    "TermStarted",
]
