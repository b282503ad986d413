"""Take over the leadership of the data centre's journal when the leader fails."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
from eliot import log_message

from brasstray.journal.errors import JournalError, NewerTermError
from brasstray.journal.lease import Lease
from brasstray.journal.takeover import Takeover

if TYPE_CHECKING:
    from anyio.abc import TaskGroup

    from brasstray.entry.config import EntryConfig
    from brasstray.entry.entry_host_dependencies import EntryHostDependencies
    from brasstray.entry.journal_service import JournalService
    from brasstray.entry.membership import Membership
    from brasstray.journal.journal import Journal
    from brasstray.journal.leader import Leader
    from brasstray.journal.replicas import Replicas


class Election:
    """Monitor the leader, replace it when it fails, and release the term on drain."""

    def __init__(
        self,
        config: EntryConfig,
        membership: Membership,
        journal_service: JournalService,
        journal: Journal,
        replicas: Replicas,
        dependencies: EntryHostDependencies,
    ) -> None:
        self._config = config
        self._membership = membership
        self._journal_service = journal_service
        self._takeover = Takeover(
            journal,
            replicas,
            dependencies.clock,
            dependencies.random,
            config.timing.journal,
        )
        self._lease = Lease(journal, dependencies.clock, config.timing.journal)
        self._clock = dependencies.clock
        self._random = dependencies.random
        self._withdrawn = False

    async def run(self) -> None:
        """Take over whenever the leader is silent, and lead until deposed."""
        timing = self._config.timing
        while True:
            await self._clock.sleep(timing.heartbeat)
            if self._withdrawn or self._membership.is_leader_live():
                continue
            # A random delay spreads the candidates, so that usually only one tries.
            await self._clock.sleep(timing.heartbeat * self._random.random())
            if not self._membership.is_leader_live() and await self._may_take_over():
                await self._take_over()

    async def _may_take_over(self) -> bool:
        # A host that is cut off from its peers but not from the platform would
        # repeatedly depose a leader that all other hosts hear. A host that hears
        # fewer than half of them first watches the leader's lease for longer than a
        # renewal takes.
        if self._membership.hears_half():
            return True
        try:
            return not await self._lease.is_renewed()
        except JournalError:
            return False

    async def _take_over(self) -> None:
        term = self._membership.term
        try:
            leader = await self._takeover.run(self._config.incarnation, term)
        except NewerTermError as error:
            self._membership.record_leader(error.term, error.leader)
            return
        except JournalError as error:
            log_message("brasstray:takeover_failed", error=str(error))
            return
        term = leader.writer.term
        log_message("brasstray:leads", term=term, replicas=leader.writer.replicas)
        self._membership.record_leader(term, self._config.incarnation)
        self._journal_service.set_leader(leader)
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(self._lease.renew_until_cancelled)
                group.start_soon(self._watch_for_later_term, leader, group)
                await leader.writer.run()
                group.cancel_scope.cancel()
        finally:
            self._journal_service.set_leader(None)
            self._membership.clear_leader(self._config.incarnation)
            log_message("brasstray:leads_no_more", term=leader.writer.term)

    async def _watch_for_later_term(self, leader: Leader, group: TaskGroup) -> None:
        # An idle leader does not learn from a failed write that it was deposed, and
        # would keep replying that a key has no binding.
        while self._membership.term <= leader.writer.term:
            await self._clock.sleep(self._config.timing.heartbeat)
        group.cancel_scope.cancel()

    async def withdraw(self) -> None:
        """Stop taking over, and release the term after flushing all records."""
        self._withdrawn = True
        if self._journal_service.leader is not None:
            try:
                await self._journal_service.leader.release()
            except JournalError as error:
                log_message("brasstray:release_failed", error=str(error))


__all__ = ["Election"]
