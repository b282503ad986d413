"""Define the intervals and timeouts of an entry host."""

from __future__ import annotations

from dataclasses import dataclass, field
from datetime import timedelta

from brasstray.dispatch.timing import DispatchTiming
from brasstray.journal.timing import JournalTiming


@dataclass(frozen=True)
class EntryTiming:
    """Configure intervals and timeouts; safety depends on none of them."""

    heartbeat: timedelta = timedelta(milliseconds=500)
    peer_timeout: timedelta = timedelta(seconds=1)
    suspect_after: timedelta = timedelta(seconds=2)
    fence_after: timedelta = timedelta(seconds=5)
    list_interval: timedelta = timedelta(seconds=2)
    journal_timeout: timedelta = timedelta(seconds=8)
    journal_retry_interval: timedelta = timedelta(milliseconds=100)
    retry_after: timedelta = timedelta(seconds=1)
    forward_margin: timedelta = timedelta(seconds=2)
    drain_timeout: timedelta = timedelta(seconds=60)
    purge_interval: timedelta = timedelta(seconds=10)
    table_interval: timedelta = timedelta(seconds=1)
    reconcile_interval: timedelta = timedelta(seconds=1)
    borrow_interval: timedelta = timedelta(milliseconds=100)
    grant_delay: timedelta = timedelta(milliseconds=1)
    journal: JournalTiming = field(default_factory=JournalTiming)
    dispatch: DispatchTiming = field(default_factory=DispatchTiming)

    @property
    def retry_after_ms(self) -> int:
        """Return the delay after which callers are told to retry, in milliseconds."""
        return self.retry_after // timedelta(milliseconds=1)


__all__ = ["EntryTiming"]
