"""Queue records that are not yet written to the platform."""

from __future__ import annotations

from collections import deque
from itertools import count
from typing import TYPE_CHECKING

import anyio

from brasstray.journal.backlog_item import BacklogItem

if TYPE_CHECKING:
    from brasstray.journal.records import Record


class Backlog:
    """Hold numbered records, first in first out, until they are flushed.

    A record is flushed when the platform has it. It is committed when the platform or,
    in an outage, a replica has it.
    """

    def __init__(self) -> None:
        self._numbers = count()
        self._pending: deque[BacklogItem] = deque()
        self._changed = anyio.Event()

    def __len__(self) -> int:
        return len(self._pending)

    @property
    def last(self) -> BacklogItem | None:
        """Return the last item of the queue."""
        return self._pending[-1] if self._pending else None

    def add(self, record: Record) -> BacklogItem:
        """Append `record` and return its queue item."""
        pending = BacklogItem(next(self._numbers), record)
        self._pending.append(pending)
        self.notify()
        return pending

    def add_notice(self) -> BacklogItem:
        """Insert an item without a record, which marks an outage, before all others."""
        notice = BacklogItem(next(self._numbers), None)
        self._pending.appendleft(notice)
        self.notify()
        return notice

    def next_number(self) -> int:
        """Return a number greater than every number assigned so far."""
        return next(self._numbers)

    def records(self, limit: int) -> list[Record]:
        """Return up to `limit` records from the head of the queue."""
        records = (p.record for p in self._pending if p.record is not None)
        return [record for record, _ in zip(records, range(limit), strict=False)]

    def beyond(self, number: int) -> dict[int, Record | None]:
        """Return the records of queued items above `number`, by number."""
        return {p.number: p.record for p in self._pending if p.number > number}

    def flushed(self, record_count: int) -> None:
        """Remove the first `record_count` records, now flushed, and leading markers."""
        left = record_count
        while self._pending and (left or self._pending[0].record is None):
            pending = self._pending.popleft()
            left -= pending.record is not None
            pending.flushed.set()
            pending.settled.set()

    def copied(self, number: int) -> None:
        """Mark items up to `number` as committed, but keep them until flushed."""
        for pending in self._pending:
            if pending.number <= number:
                pending.settled.set()

    def abandon(self) -> None:
        """Mark every queued item as abandoned and wake the tasks that wait for it."""
        for pending in self._pending:
            pending.abandoned = True
            pending.flushed.set()
            pending.settled.set()
        self.notify()

    def notify(self) -> None:
        """Wake all tasks that wait for a change."""
        self._changed.set()
        self._changed = anyio.Event()

    async def changed(self) -> None:
        """Wait for the next change."""
        await self._changed.wait()


__all__ = ["Backlog"]
