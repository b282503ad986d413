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
        last = -1
        old: list[tuple[int, datetime]] = []
        for index, segment in await self._journal.read(after=last):
            state.apply_segment(segment)
            old.append((index, latest_expiry(segment, self._clock.now())))
            last = index
        unsettled, doubtful_until = state.unsettled, state.accept_until
        earlier = state.term.term if state.term is not None else 0
        if state.term is not None and earlier > replaced_term:
            raise NewerTermError(earlier, state.term.leader)
        started = TermStarted(
            term=earlier + 1,
            leader=incarnation,
            replicas=self._replicas.live()[:REPLICA_COUNT],
        )
        last = await self._append(last, state, started, [started])
        recovered = await self._recover(unsettled, doubtful_until)
        recovered.append(RecoveryCompleted(term=started.term))
        last = await self._append(last, state, started, recovered)
        backlog = Backlog()
        writer = Writer(
            started,
            last + 1,
            old,
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
        last: int,
        state: JournalState,
        started: TermStarted,
        records: list[Record],
    ) -> int:
        segment = Segment(
            term=started.term,
            writer=started.leader,
            token=f"{self._random.getrandbits(TOKEN_BITS):016x}",
            horizon=state.horizon,
            accept_until=self._clock.now() + self._timing.allowance,
            records=records,
        )
        while True:
            try:
                written = await self._journal.append(last + 1, segment)
            except JournalUnavailableError:
                await self._clock.sleep(self._timing.retry_least)
                continue
            state.apply_segment(written)
            return last + 1

    async def _recover(
        self, unsettled: list[TermStarted], doubtful_until: datetime
    ) -> list[Record]:
        gathered: list[Record] = []
        for term in unsettled:
            copies = await self._fence_all(term)
            known = [c for c in copies.values() if c is not None]
            for records in known:
                gathered.extend(records)
            # A replica without any item of an outage proves that nothing was committed
            # in one. The earlier leader needed its confirmation first, and can no
            # longer get it.
            clean = not term.replicas or len(known) < len(copies)
            if not clean and len(copies) < len(term.replicas):
                gathered.append(KeysInDoubt(until=doubtful_until))
        return gathered

    async def _fence_all(
        self, term: TermStarted
    ) -> dict[IncarnationId, list[Record] | None]:
        replies: dict[IncarnationId, list[Record] | None] = {}

        async def fence(replica: IncarnationId) -> None:
            while True:
                try:
                    replies[replica] = await self._replicas.fence(replica, term.term)
                    return
                except ReplicaUnreachableError:
                    await self._clock.sleep(self._timing.replica_retry)

        with anyio.move_on_after(self._timing.fence_patience.total_seconds()):
            async with anyio.create_task_group() as group:
                for replica in term.replicas:
                    group.start_soon(fence, replica)
        return replies


__all__ = ["Takeover"]
