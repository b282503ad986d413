"""Assemble an entry host from its components."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
from eliot import log_message

from brasstray.dispatch.minion_pool import MinionPool
from brasstray.dispatch.policies import SlotCredits
from brasstray.entry.credit_exchange import CreditExchange
from brasstray.entry.credit_reconciler import CreditReconciler
from brasstray.entry.election import Election
from brasstray.entry.executions import Executions
from brasstray.entry.forwarder import Forwarder
from brasstray.entry.heartbeats import Heartbeats
from brasstray.entry.job_runner import JobRunner
from brasstray.entry.job_service import JobService
from brasstray.entry.journal_client import JournalClient
from brasstray.entry.journal_service import JournalService
from brasstray.entry.membership import Membership
from brasstray.entry.peer_handler import PeerHandler
from brasstray.entry.peer_replicas import PeerReplicas
from brasstray.entry.table_cache import TableCache
from brasstray.journal.journal import Journal
from brasstray.journal.replica import Replica
from brasstray.table.table_store import TableStore

if TYPE_CHECKING:
    from brasstray.entry.config import EntryConfig
    from brasstray.entry.entry_host_dependencies import EntryHostDependencies
    from brasstray.job.ids import IncarnationId
    from brasstray.metrics.entry_metrics import EntryMetrics
    from brasstray.peer.messages import Message


class EntryHost:
    """Serve callers and peers on one entry host.

    All external interfaces are injected. No state outlives the process.
    """

    def __init__(
        self, config: EntryConfig, dependencies: EntryHostDependencies
    ) -> None:
        self._config = config
        self._clock = clock = dependencies.clock
        self._metrics = dependencies.metrics
        self._membership = membership = Membership(config, clock)
        self._executions = Executions(clock, config.timing.dispatch)
        self._pool = MinionPool(
            clock,
            dependencies.random,
            config.timing.dispatch,
            config.slots,
            config.order,
        )
        replica = Replica()
        self._journal_service = JournalService(config, membership)
        self._tables = TableCache(
            config,
            membership,
            self._journal_service,
            TableStore(dependencies.store),
            dependencies.peers,
            clock,
        )
        journal = JournalClient(
            config, membership, self._journal_service, dependencies.peers, clock
        )
        self._runner = JobRunner(
            config, self._executions, journal, self._pool, self._tables, dependencies
        )
        self._jobs = JobService(
            config,
            self._runner,
            Forwarder(config, membership, journal, dependencies),
            journal,
            self._tables,
            dependencies,
        )
        self._exchange = CreditExchange(
            config, membership, self._pool, dependencies.peers, clock
        )
        self._reconciler = CreditReconciler(config, membership, self._pool, clock)
        self._election = Election(
            config,
            membership,
            self._journal_service,
            Journal(dependencies.store, config.data_centre),
            PeerReplicas(config, membership, replica, dependencies.peers),
            dependencies,
        )
        self._heartbeats = Heartbeats(
            config,
            membership,
            self._journal_service,
            self._pool,
            self._reconciler,
            self._tables,
            dependencies,
        )
        self._peer_handler = PeerHandler(
            self._heartbeats,
            self._jobs,
            self._journal_service,
            replica,
            self._pool,
            self._exchange,
            self._tables,
        )
        self._draining = False

    @property
    def config(self) -> EntryConfig:
        """Return this host's configuration."""
        return self._config

    @property
    def jobs(self) -> JobService:
        """Return the service that handles callers' requests."""
        return self._jobs

    @property
    def membership(self) -> Membership:
        """Return this host's view of the other entry hosts."""
        return self._membership

    @property
    def executions(self) -> Executions:
        """Return the jobs that this incarnation has accepted."""
        return self._executions

    @property
    def pool(self) -> MinionPool:
        """Return the pool of this data centre's minions and this host's credits."""
        return self._pool

    @property
    def tables(self) -> TableCache:
        """Return the cache of the operators' table."""
        return self._tables

    @property
    def journal_service(self) -> JournalService:
        """Return the service that handles journal requests while this host leads."""
        return self._journal_service

    @property
    def metrics(self) -> EntryMetrics:
        """Return this host's metrics."""
        return self._metrics

    @property
    def draining(self) -> bool:
        """Return whether this host is draining and accepts no more jobs."""
        return self._draining

    async def run(self) -> None:
        """Serve until cancelled."""
        async with anyio.create_task_group() as group:
            self._runner.use_task_group(group)
            if isinstance(self._config.slots, SlotCredits):
                group.start_soon(self._exchange.run)
                group.start_soon(self._reconciler.run)
            group.start_soon(self._heartbeats.run)
            group.start_soon(self._tables.run)
            group.start_soon(self._election.run)
            group.start_soon(self._purge_periodically)

    async def _purge_periodically(self) -> None:
        while True:
            await self._clock.sleep(self._config.timing.purge_interval)
            self._executions.purge()

    async def drain(self) -> int:
        """Stop accepting jobs, wait for running ones, and return how many are left.

        Peers learn of it from heartbeats, the load balancer from the health endpoint.
        The wait is limited by the drain limit.
        """
        self._draining = True
        self._runner.drain()
        self._heartbeats.drain()
        deadline = self._clock.monotonic() + self._config.timing.drain_timeout
        while self._executions.unanswered and self._clock.monotonic() < deadline:
            log_message("brasstray:draining", jobs=self._executions.unanswered)
            await self._clock.sleep(self._config.timing.heartbeat)
        await self._exchange.hand_over_credits()
        await self._election.withdraw()
        return self._executions.unanswered

    async def handle(self, sender: IncarnationId, message: Message) -> Message:
        """Return the reply to a peer's message."""
        return await self._peer_handler.handle(sender, message)


__all__ = ["EntryHost"]
