"""Commit a data centre's records in order, and answer queries from them."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from brasstray.journal.errors import (
    CommitUnavailableError,
    DeposedError,
    JournalInDoubtError,
    KeyForgottenError,
)
from brasstray.journal.records import IncarnationFenced, TermReleased

if TYPE_CHECKING:
    from datetime import datetime

    from brasstray.job.ids import IncarnationId
    from brasstray.job.job_id import JobId
    from brasstray.journal.backlog import Backlog
    from brasstray.journal.backlog_item import BacklogItem
    from brasstray.journal.records import JobAnswered, KeyBound, Record
    from brasstray.journal.state import JournalState
    from brasstray.journal.timing import JournalTiming
    from brasstray.journal.writer import Writer


class Leader:
    """Serialize the requests of a data centre's hosts and reply after commit.

    A record is applied to the state when it is queued, so that two hosts that ask
    concurrently get the same binding. No reply depends on a record before the record
    is committed.
    """

    def __init__(
        self,
        state: JournalState,
        backlog: Backlog,
        writer: Writer,
        timing: JournalTiming,
    ) -> None:
        self._state = state
        self._backlog = backlog
        self._writer = writer
        self._timing = timing
        self._flushed_fences = set(state.fenced)

    @property
    def writer(self) -> Writer:
        """Return the writer of this leader's records."""
        return self._writer

    @property
    def key_count(self) -> int:
        """Return the number of keys held in memory."""
        return len(self._state)

    async def bind(self, proposed: KeyBound) -> KeyBound:
        """Return the committed binding of a job: an earlier one, or else `proposed`.

        Raise KeyForgottenError, JournalInDoubtError, CommitUnavailableError or
        DeposedError; after the last two, the key may have been bound.
        """
        found = self._state.binding_of(proposed.job)
        if found is None:
            self._check_expiry(proposed.expires)
            await self._commit(proposed)
            return proposed
        await self._wait_for_last_record()
        return found

    def _check_expiry(self, expires: datetime) -> None:
        if expires <= self._state.horizon:
            raise KeyForgottenError(
                f"records of keys that expire by {self._state.horizon} were removed"
            )
        if expires <= self._state.in_doubt_until:
            raise JournalInDoubtError(
                f"records of keys that expire by {self._state.in_doubt_until} may"
                " be lost"
            )
        # If copies are lost, a later leader treats unknown keys that expire by the
        # journal's accept_until as in doubt. A key with a later expiry would be bound
        # again, so the journal must raise accept_until before it is bound.
        if expires > self._writer.accept_until:
            self._writer.request_extension()
            raise CommitUnavailableError(
                "the journal does not yet accept keys with this expiry"
            )

    async def commit_answer(self, proposed: JobAnswered) -> JobAnswered | None:
        """Commit the answer `proposed` and return it, or an answer committed earlier.

        Return None if the executor is fenced or the key's records have been removed,
        as another host may already have reported this to the caller.
        """
        found = self._state.answer_of(proposed.job)
        forgotten = proposed.expires <= self._state.horizon
        if found or forgotten or self._state.is_fenced(proposed.executor):
            await self._wait_for_last_record()
            return found
        await self._commit(proposed)
        return proposed

    async def fence(self, incarnation: IncarnationId) -> None:
        """Revoke the right of `incarnation` to commit answers.

        If a fence were lost with the leader and its replicas, a later leader could
        commit an answer that contradicts what callers were told. A fence therefore
        counts only once the platform has it, and none can be made in an outage.
        """
        if incarnation in self._flushed_fences:
            return
        if self._writer.offline:
            raise CommitUnavailableError("fencing needs the platform, which is down")
        self._check_term()
        self._state.apply(IncarnationFenced(incarnation=incarnation))
        item = self._backlog.add(IncarnationFenced(incarnation=incarnation))
        await self._wait_with_timeout(item.flushed, item)
        self._flushed_fences.add(incarnation)

    async def look_up(self, job: JobId) -> tuple[KeyBound | None, JobAnswered | None]:
        """Return the committed binding and answer of `job`."""
        found = self._state.binding_of(job), self._state.answer_of(job)
        await self._wait_for_last_record()
        return found

    def is_fenced(self, incarnation: IncarnationId) -> bool:
        """Return whether the platform has a fence for `incarnation`."""
        return incarnation in self._flushed_fences

    def is_forgotten(self, expires: datetime) -> bool:
        """Return whether the records of keys with this expiry have been removed."""
        return expires <= self._state.horizon

    def in_doubt(self, expires: datetime) -> bool:
        """Return whether records of keys with this expiry may have been lost."""
        return expires <= self._state.in_doubt_until

    async def release(self) -> None:
        """End the term with all records flushed, so that no replica must be queried.

        Raise CommitUnavailableError if the platform does not confirm this in time.
        """
        with anyio.move_on_after(self._timing.commit_timeout.total_seconds()):
            while self._writer.offline and not self._writer.deposed:
                await self._backlog.wait_for_change()
            await self._commit(TermReleased(term=self._writer.term))
            return
        raise CommitUnavailableError("the platform did not confirm the term's end")

    async def _commit(self, record: Record) -> None:
        self._check_term()
        self._state.apply(record)
        item = self._backlog.add(record)
        await self._wait_with_timeout(item.settled, item)

    async def _wait_for_last_record(self) -> None:
        # Records are applied to the state before they are committed, so a reader could
        # see one that a later leader won't have. It waits for the last queued record.
        self._check_term()
        last = self._backlog.last
        if last is not None:
            await self._wait_with_timeout(last.settled, last)

    async def _wait_with_timeout(self, event: anyio.Event, item: BacklogItem) -> None:
        with anyio.move_on_after(self._timing.commit_timeout.total_seconds()):
            await event.wait()
        if item.abandoned:
            raise DeposedError(f"term {self._writer.term} has ended")
        if not event.is_set():
            raise CommitUnavailableError("no platform or replica confirmed in time")

    def _check_term(self) -> None:
        if self._writer.deposed:
            raise DeposedError(f"term {self._writer.term} has ended")


__all__ = ["Leader"]
