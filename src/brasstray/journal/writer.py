"""Write a leader's records to the platform, or to replicas in an outage."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

import anyio

from brasstray.journal.errors import DeposedError, JournalUnavailableError
from brasstray.journal.offline_replication import OfflineReplication
from brasstray.journal.records import (
    IncarnationFenced,
    JobAnswered,
    KeyBound,
    KeysInDoubt,
    RecoveryCompleted,
    TermReleased,
    TermStarted,
)
from brasstray.journal.segment import Segment
from brasstray.journal.write_rate_limiter import WriteRateLimiter

if TYPE_CHECKING:
    from datetime import datetime, timedelta
    from random import Random

    from anyio.abc import TaskGroup

    from brasstray.clock.clock import Clock
    from brasstray.job.ids import IncarnationId
    from brasstray.journal.backlog import Backlog
    from brasstray.journal.journal import Journal
    from brasstray.journal.records import Record
    from brasstray.journal.replicas import Replicas
    from brasstray.journal.state import JournalState
    from brasstray.journal.timing import JournalTiming

SEGMENT_RECORDS = 2_000
REPLICA_COUNT = 2
TOKEN_BITS = 64


class Writer:
    """Write segments in sequence until the term ends."""

    def __init__(
        self,
        started: TermStarted,
        next_index: int,
        retained_segments: list[tuple[int, datetime]],
        state: JournalState,
        backlog: Backlog,
        journal: Journal,
        replicas: Replicas,
        clock: Clock,
        random: Random,
        timing: JournalTiming,
    ) -> None:
        self._started = started
        self._next_index = next_index
        self._state = state
        self._backlog = backlog
        self._journal = journal
        self._replicas = replicas
        self._clock = clock
        self._random = random
        self._timing = timing
        self._offline_replication: OfflineReplication | None = None
        self._next_term: TermStarted | None = None
        self._extension_requested = False
        self._deposed = False
        self._compacted_at = clock.now()
        self._retained_segments = deque(retained_segments)
        self._writes = 0

    @property
    def term(self) -> int:
        """Return the current term."""
        return self._started.term

    @property
    def replicas(self) -> list[IncarnationId]:
        """Return the replicas that the journal lists for this term."""
        return self._started.replicas

    @property
    def accept_until(self) -> datetime:
        """Return the latest expiry with which the journal permits keys to be bound."""
        return self._state.accept_until

    @property
    def offline(self) -> bool:
        """Return whether records are committed through replicas in an outage."""
        return self._offline_replication is not None

    @property
    def deposed(self) -> bool:
        """Return whether this term is known to have ended."""
        return self._deposed

    @property
    def writes(self) -> int:
        """Return the number of segments written."""
        return self._writes

    def request_extension(self) -> None:
        """Request a segment that permits keys with a later expiry."""
        self._extension_requested = True
        self._backlog.notify()

    async def run(self) -> None:
        """Write queued records until the term ends."""
        rate_limiter = WriteRateLimiter(
            self._clock, self._timing.write_interval, self._timing.write_burst
        )
        try:
            async with anyio.create_task_group() as group:
                while not self._deposed:
                    await self._write_pending(group, rate_limiter)
                group.cancel_scope.cancel()
        except* DeposedError:
            pass
        finally:
            self._deposed = True
            self._backlog.abandon()

    async def _write_pending(
        self, group: TaskGroup, rate_limiter: WriteRateLimiter
    ) -> None:
        await self._wait_for_work()
        try:
            if not self._backlog and not self.offline:
                await self._update_replicas()
                await self._compact()
            if self._backlog or self._extension_requested:
                await rate_limiter.acquire()
                await self._flush()
        except JournalUnavailableError:
            if not self.offline and self._next_term is None:
                self._offline_replication = OfflineReplication(
                    self._started,
                    self._backlog,
                    self._replicas,
                    self._clock,
                    self._timing,
                )
                group.start_soon(self._offline_replication.run)
            await self._clock.sleep(self._retry_delay())

    async def _wait_for_work(self) -> None:
        if self._backlog or self._extension_requested or self._next_term:
            return
        with anyio.move_on_after(self._timing.replica_check_interval.total_seconds()):
            await self._backlog.wait_for_change()

    def _retry_delay(self) -> timedelta:
        shortest, longest = self._timing.min_retry_delay, self._timing.max_retry_delay
        return shortest + (longest - shortest) * self._random.random()

    async def _flush(self) -> None:
        records = self._backlog.first_records(SEGMENT_RECORDS)
        written = await self._append(self._segment(self.term, records))
        self._extension_requested = False
        # If an earlier attempt of this term was written, `written` is its segment. Its
        # records are still at the head of the backlog, from which records are removed
        # only after a confirmed write.
        self._backlog.mark_flushed(len(written.records))
        if any(isinstance(record, TermReleased) for record in written.records):
            raise DeposedError(f"term {self.term} was ended by its leader")
        if not self._backlog and self._offline_replication is not None:
            ended, self._offline_replication = self._offline_replication, None
            await ended.end()
            self._backlog.notify()

    def _segment(self, term: int, records: list[Record]) -> Segment:
        return Segment(
            term=term,
            writer=self._started.leader,
            token=f"{self._random.getrandbits(TOKEN_BITS):016x}",
            horizon=self._state.horizon,
            accept_until=self._clock.now() + self._timing.expiry_allowance,
            records=records,
        )

    async def _append(self, segment: Segment) -> Segment:
        written = await self._journal.append(self._next_index, segment)
        self._writes += 1
        self._state.apply_segment(written)
        latest = latest_expiry(written, self._clock.now())
        self._retained_segments.append((self._next_index, latest))
        self._next_index += 1
        return written

    async def _update_replicas(self) -> None:
        # A later leader must know all replicas that may hold copies. So the replicas
        # change only with a new term, which starts when nothing is left to flush, and
        # until its segment is known to be written, no copy counts in either term.
        if self._next_term is None:
            chosen = self._choose_replicas()
            if chosen == self.replicas:
                return
            self._next_term = TermStarted(
                term=self.term + 1, leader=self._started.leader, replicas=chosen
            )
        started = self._next_term
        records: list[Record] = [
            TermReleased(term=self.term),
            started,
            RecoveryCompleted(term=started.term),
        ]
        await self._append(self._segment(started.term, records))
        self._started, self._next_term = started, None

    def _choose_replicas(self) -> list[IncarnationId]:
        candidates = self._replicas.candidates()
        kept = [replica for replica in self.replicas if replica in candidates]
        added = [replica for replica in candidates if replica not in kept]
        return (kept + added)[:REPLICA_COUNT]

    async def _compact(self) -> None:
        now = self._clock.now()
        if now - self._compacted_at < self._timing.compaction_interval:
            return
        self._compacted_at = now
        self._state.forget(now)
        # A later leader must not take a removed key for a new one. So the horizon and
        # all records that don't expire are written before any segment is deleted.
        permanent: list[Record] = [
            self._started,
            RecoveryCompleted(term=self.term),
            KeysInDoubt(until=self._state.in_doubt_until),
            *(
                IncarnationFenced(incarnation=fenced)
                for fenced in sorted(self._state.fenced)
            ),
        ]
        await self._append(self._segment(self.term, permanent))
        while len(self._retained_segments) > 1 and self._retained_segments[0][1] <= now:
            await self._journal.delete_segment(self._retained_segments.popleft()[0])


def latest_expiry(segment: Segment, now: datetime) -> datetime:
    """Return when the last key of `segment` expires, or `now` if it has no key."""
    keyed = (r for r in segment.records if isinstance(r, KeyBound | JobAnswered))
    return max((record.expires for record in keyed), default=now)


__all__ = ["REPLICA_COUNT", "TOKEN_BITS", "Writer", "latest_expiry"]
