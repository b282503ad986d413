"""Start a new leader's term on a data centre's journal."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from brasstray.journal.backlog import Backlog
from brasstray.journal.errors import (
    JournalUnavailableError,
    NewerTermError,
    ReplicaUnreachableError,
)
from brasstray.journal.leader import Leader
from brasstray.journal.records import KeysInDoubt, RecoveryCompleted, TermStarted
from brasstray.journal.segment import Segment
from brasstray.journal.state import JournalState
from brasstray.journal.writer import (
    REPLICA_COUNT,
    TOKEN_BITS,
    Writer,
    latest_expiry,
)

if TYPE_CHECKING:
    from datetime import datetime
    from random import Random

    from brasstray.clock.clock import Clock
    from brasstray.job.ids import IncarnationId
    from brasstray.journal.journal import Journal
    from brasstray.journal.records import Record
    from brasstray.journal.replicas import Replicas
    from brasstray.journal.timing import JournalTiming


class Takeover:
    """Fence earlier terms and recover the records that they committed."""

    def __init__(
        self,
        journal: Journal,
        replicas: Replicas,
        clock: Clock,
        random: Random,
        timing: JournalTiming,
    ) -> None:
        self._journal = journal
        self._replicas = replicas
        self._clock = clock
        self._random = random
        self._timing = timing

    async def run(self, incarnation: IncarnationId, replaced_term: int) -> Leader:
        """Recover the earlier terms, start a new one and return its leader.

        Raise NewerTermError if `replaced_term` has already been replaced, DeposedError
        if another host started a term first, and JournalUnavailableError if the
        platform, without which no term can start, is unavailable.
        """
        state = JournalState()
        last_index = -1
        retained: list[tuple[int, datetime]] = []
        for index, segment in await self._journal.read(after=last_index):
            state.apply_segment(segment)
            retained.append((index, latest_expiry(segment, self._clock.now())))
            last_index = index
        unrecovered_terms, in_doubt_until = state.unrecovered_terms, state.accept_until
        latest_term = state.term.term if state.term is not None else 0
        if state.term is not None and latest_term > replaced_term:
            raise NewerTermError(latest_term, state.term.leader)
        started = TermStarted(
            term=latest_term + 1,
            leader=incarnation,
            replicas=self._replicas.candidates()[:REPLICA_COUNT],
        )
        last_index = await self._append(last_index, state, started, [started])
        recovered = await self._recover(unrecovered_terms, in_doubt_until)
        recovered.append(RecoveryCompleted(term=started.term))
        last_index = await self._append(last_index, state, started, recovered)
        backlog = Backlog()
        writer = Writer(
            started,
            last_index + 1,
            retained,
            state,
            backlog,
            self._journal,
            self._replicas,
            self._clock,
            self._random,
            self._timing,
        )
        return Leader(state, backlog, writer, self._timing)

    async def _append(
        self,
        last_index: int,
        state: JournalState,
        started: TermStarted,
        records: list[Record],
    ) -> int:
        segment = Segment(
            term=started.term,
            writer=started.leader,
            token=f"{self._random.getrandbits(TOKEN_BITS):016x}",
            horizon=state.horizon,
            accept_until=self._clock.now() + self._timing.expiry_allowance,
            records=records,
        )
        while True:
            try:
                written = await self._journal.append(last_index + 1, segment)
            except JournalUnavailableError:
                await self._clock.sleep(self._timing.min_retry_delay)
                continue
            state.apply_segment(written)
            return last_index + 1

    async def _recover(
        self, unrecovered_terms: list[TermStarted], in_doubt_until: datetime
    ) -> list[Record]:
        gathered: list[Record] = []
        for term in unrecovered_terms:
            copies = await self._fence_replicas(term)
            held_records = [c for c in copies.values() if c is not None]
            for records in held_records:
                gathered.extend(records)
            # A replica without any item of an outage proves that nothing was committed
            # in one. The earlier leader needed its confirmation first, and can no
            # longer get it.
            nothing_lost = not term.replicas or len(held_records) < len(copies)
            if not nothing_lost and len(copies) < len(term.replicas):
                gathered.append(KeysInDoubt(until=in_doubt_until))
        return gathered

    async def _fence_replicas(
        self, term: TermStarted
    ) -> dict[IncarnationId, list[Record] | None]:
        replies: dict[IncarnationId, list[Record] | None] = {}

        async def fence(replica: IncarnationId) -> None:
            while True:
                try:
                    replies[replica] = await self._replicas.fence(replica, term.term)
                    return
                except ReplicaUnreachableError:
                    await self._clock.sleep(self._timing.replica_retry_delay)

        with anyio.move_on_after(self._timing.fence_timeout.total_seconds()):
            async with anyio.create_task_group() as group:
                for replica in term.replicas:
                    group.start_soon(fence, replica)
        return replies


__all__ = ["Takeover"]
