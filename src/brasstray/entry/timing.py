"""Hold the intervals that an entry host works by."""

from __future__ import annotations

from dataclasses import dataclass, field
from datetime import timedelta

from brasstray.dispatch.timing import DispatchTiming
from brasstray.journal.timing import JournalTiming


@dataclass(frozen=True)
class EntryTiming:
    """Set how often hosts look at one another; none affects safety."""

    heartbeat: timedelta = timedelta(milliseconds=500)
    peer_timeout: timedelta = timedelta(seconds=1)
    suspect_after: timedelta = timedelta(seconds=2)
    fence_after: timedelta = timedelta(seconds=5)
    list_interval: timedelta = timedelta(seconds=2)
    journal_timeout: timedelta = timedelta(seconds=8)
    journal_retry_interval: timedelta = timedelta(milliseconds=100)
    retry_after: timedelta = timedelta(seconds=1)
    forward_margin: timedelta = timedelta(seconds=2)
    drain_limit: timedelta = timedelta(seconds=60)
    purge_interval: timedelta = timedelta(seconds=10)
    table_interval: timedelta = timedelta(seconds=1)
    reconcile_interval: timedelta = timedelta(seconds=1)
    borrow_interval: timedelta = timedelta(milliseconds=100)
    grant_delay: timedelta = timedelta(milliseconds=1)
    journal: JournalTiming = field(default_factory=JournalTiming)
    dispatch: DispatchTiming = field(default_factory=DispatchTiming)

    @property
    def retry_after_ms(self) -> int:
        """Return when callers are told to ask again, in milliseconds."""
        return self.retry_after // timedelta(milliseconds=1)


__all__ = ["EntryTiming"]
