"""Commit a leader's records through replicas while the platform is unavailable."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from brasstray.journal.errors import DeposedError, ReplicaUnreachableError

if TYPE_CHECKING:
    from brasstray.clock.clock import Clock
    from brasstray.job.ids import IncarnationId
    from brasstray.journal.backlog import Backlog
    from brasstray.journal.records import TermStarted
    from brasstray.journal.replicas import Replicas
    from brasstray.journal.timing import JournalTiming

_NONE_ACKED = -1


class OfflineReplication:
    """Copy the backlog to each replica for the duration of a platform outage."""

    def __init__(
        self,
        started: TermStarted,
        backlog: Backlog,
        replicas: Replicas,
        clock: Clock,
        timing: JournalTiming,
    ) -> None:
        self._started = started
        self._backlog = backlog
        self._replicas = replicas
        self._clock = clock
        self._timing = timing
        self._outage_marker = backlog.add_outage_marker()
        self._last_acked = dict.fromkeys(started.replicas, _NONE_ACKED)
        self._scope = anyio.CancelScope()

    async def run(self) -> None:
        """Copy until `end` is called; raise DeposedError if the term is fenced."""
        with self._scope:
            async with anyio.create_task_group() as group:
                for replica in self._started.replicas:
                    group.start_soon(self._replicate_to, replica)

    async def end(self) -> None:
        """Stop copying and delete the copies, after all records have been flushed."""
        self._scope.cancel()
        below = self._backlog.next_number()
        for replica in self._started.replicas:
            try:
                await self._replicas.drop(replica, self._started.term, below)
            except ReplicaUnreachableError:
                continue

    async def _replicate_to(self, replica: IncarnationId) -> None:
        while True:
            copies = self._backlog.records_after(self._last_acked[replica])
            if not copies:
                await self._backlog.wait_for_change()
                continue
            try:
                held = await self._replicas.hold(replica, self._started.term, copies)
            except ReplicaUnreachableError:
                await self._clock.sleep(self._timing.replica_retry_delay)
                continue
            if not held:
                raise DeposedError(
                    f"replica {replica} has fenced term {self._started.term}"
                )
            self._last_acked[replica] = max(copies)
            self._commit_replicated()

    def _commit_replicated(self) -> None:
        # A later leader that reaches only a replica without any item of this outage
        # concludes that there was none, and would bind its keys again. So no record
        # counts as committed until every replica has the outage marker.
        if min(self._last_acked.values()) >= self._outage_marker.number:
            self._backlog.mark_replicated(max(self._last_acked.values()))


__all__ = ["OfflineReplication"]
