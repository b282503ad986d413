"""Combine the journal's record types in a tagged union."""

from __future__ import annotations

from typing import Annotated

from pydantic import Field

from brasstray.journal.record.answered import Answered
from brasstray.journal.record.bound import Bound
from brasstray.journal.record.doubtful import Doubtful
from brasstray.journal.record.fenced import Fenced
from brasstray.journal.record.recovered import Recovered
from brasstray.journal.record.released import Released
from brasstray.journal.record.term_started import TermStarted

Record = Annotated[
    Bound | Answered | Fenced | TermStarted | Released | Recovered | Doubtful,
    Field(discriminator="kind"),
]

__all__ = [
    "Answered",
    "Bound",
    "Doubtful",
    "Fenced",
    "Record",
    "Recovered",
    "Released",
    "TermStarted",
]
