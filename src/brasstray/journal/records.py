"""Combine the journal's record types in a tagged union."""

from __future__ import annotations

from typing import Annotated

from pydantic import Field

from brasstray.journal.record.answered import Answered
from brasstray.journal.record.bound import Bound
from brasstray.journal.record.incarnation_fenced import IncarnationFenced
from brasstray.journal.record.keys_in_doubt import KeysInDoubt
from brasstray.journal.record.recovery_completed import RecoveryCompleted
from brasstray.journal.record.term_released import TermReleased
from brasstray.journal.record.term_started import TermStarted

Record = Annotated[
    Bound
    | Answered
    | IncarnationFenced
    | TermStarted
    | TermReleased
    | RecoveryCompleted
    | KeysInDoubt,
    Field(discriminator="kind"),
]

__all__ = [
    "Answered",
    "Bound",
    "IncarnationFenced",
    "KeysInDoubt",
    "Record",
    "RecoveryCompleted",
    "TermReleased",
    "TermStarted",
]
