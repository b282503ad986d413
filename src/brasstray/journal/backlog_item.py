"""Define an item of the backlog."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import anyio

if TYPE_CHECKING:
    from brasstray.journal.records import Record


@dataclass
class BacklogItem:
    """Hold a queued record, or None for the marker of an outage.

    `settled` is set when the record is committed or abandoned, and `flushed` when the
    platform has it or it is abandoned.
    """

    number: int
    record: Record | None
    settled: anyio.Event = field(default_factory=anyio.Event)
    flushed: anyio.Event = field(default_factory=anyio.Event)
    abandoned: bool = False


__all__ = ["BacklogItem"]
