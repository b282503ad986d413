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
        self._items: deque[BacklogItem] = deque()
        self._changed = anyio.Event()

    def __len__(self) -> int:
        return len(self._items)

    @property
    def last(self) -> BacklogItem | None:
        """Return the last item of the queue."""
        return self._items[-1] if self._items else None

    def add(self, record: Record) -> BacklogItem:
        """Append `record` and return its queue item."""
        item = BacklogItem(next(self._numbers), record)
        self._items.append(item)
        self.notify()
        return item

    def add_outage_marker(self) -> BacklogItem:
        """Insert an item without a record, which marks an outage, before all others."""
        marker = BacklogItem(next(self._numbers), None)
        self._items.appendleft(marker)
        self.notify()
        return marker

    def next_number(self) -> int:
        """Return a number greater than every number assigned so far."""
        return next(self._numbers)

    def first_records(self, limit: int) -> list[Record]:
        """Return up to `limit` records from the head of the queue."""
        records = (item.record for item in self._items if item.record is not None)
        return [record for record, _ in zip(records, range(limit), strict=False)]

    def records_after(self, number: int) -> dict[int, Record | None]:
        """Return the records of items above `number`, by number; None for a marker."""
        return {
            item.number: item.record for item in self._items if item.number > number
        }

    def mark_flushed(self, record_count: int) -> None:
        """Remove the first `record_count` records as flushed, and leading markers."""
        left = record_count
        while self._items and (left or self._items[0].record is None):
            item = self._items.popleft()
            left -= item.record is not None
            item.flushed.set()
            item.settled.set()

    def mark_replicated(self, number: int) -> None:
        """Mark items up to `number` as committed, but keep them until flushed."""
        for item in self._items:
            if item.number <= number:
                item.settled.set()

    def abandon(self) -> None:
        """Mark every queued item as abandoned and wake the tasks that wait for it."""
        for item in self._items:
            item.abandoned = True
            item.flushed.set()
            item.settled.set()
        self.notify()

    def notify(self) -> None:
        """Wake all tasks that wait for a change."""
        self._changed.set()
        self._changed = anyio.Event()

    async def wait_for_change(self) -> None:
        """Wait for the next change."""
        await self._changed.wait()


__all__ = ["Backlog"]
