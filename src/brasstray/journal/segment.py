"""Hold the records of one journal write."""

from __future__ import annotations

from datetime import datetime

from pydantic import BaseModel, ConfigDict

from brasstray.job.ids import IncarnationId
from brasstray.journal.records import Record


class Segment(BaseModel):
    """Hold the records of one journal write."""

    model_config = ConfigDict(frozen=True)

    term: int
    writer: IncarnationId
    token: str
    horizon: datetime
    accept_until: datetime
    records: list[Record]


__all__ = ["Segment"]
