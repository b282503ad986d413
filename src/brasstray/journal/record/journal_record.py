"""Define the immutable base class of journal records."""

from __future__ import annotations

from pydantic import BaseModel, ConfigDict


class JournalRecord(BaseModel):
    """Define the immutable base class of journal records."""

    model_config = ConfigDict(frozen=True)


__all__ = ["JournalRecord"]
