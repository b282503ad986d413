"""Exchange heartbeats with the other hosts of the data centre."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

import anyio

from brasstray.job.incarnation import data_centre_of
from brasstray.peer.errors import PeerError
from brasstray.peer.messages import Heartbeat
from brasstray.store.errors import StoreError
from brasstray.store.host_kind import HostKind

if TYPE_CHECKING:
    from brasstray.dispatch.minion_pool import MinionPool
    from brasstray.entry.config import EntryConfig
    from brasstray.entry.credit_reconciler import CreditReconciler
    from brasstray.entry.entry_host_dependencies import EntryHostDependencies
    from brasstray.entry.journal_service import JournalService
    from brasstray.entry.membership import Membership
    from brasstray.entry.table_cache import TableCache
    from brasstray.job.ids import HostName, IncarnationId
    from brasstray.store.listed_host import ListedHost


class Heartbeats:
    """Send heartbeats to each listed peer, and refresh the platform's list of hosts."""

    def __init__(
        self,
        config: EntryConfig,
        membership: Membership,
        journal_service: JournalService,
        pool: MinionPool,
        reconciler: CreditReconciler,
        tables: TableCache,
        dependencies: EntryHostDependencies,
    ) -> None:
        self._config = config
        self._membership = membership
        self._journal_service = journal_service
        self._pool = pool
        self._reconciler = reconciler
        self._tables = tables
        self._peers = dependencies.peers
        self._host_list = dependencies.host_list
        self._clock = dependencies.clock
        self._peer_scopes: dict[HostName, anyio.CancelScope] = {}
        self._draining = False
        self._holdings: dict[IncarnationId, dict[str, int]] = {}
        self._holdings_at = timedelta(0)

    def drain(self) -> None:
        """Report this host as draining in all further heartbeats."""
        self._draining = True

    def build(self, receiver: IncarnationId | None) -> Heartbeat:
        """Return this host's heartbeat for `receiver`, which may be unknown.

        It reports only the credits that the receiver reconciles, so that its size does
        not grow with the number of minions.
        """
        leader = self._journal_service.leader
        return Heartbeat(
            sender=self._config.incarnation,
            draining=self._draining,
            term=leader.writer.term if leader else self._membership.term,
            leader=self._config.incarnation if leader else self._membership.leader,
            table_version=self._tables.table.version,
            held=self._pool.held_credits,
            holdings={} if receiver is None else self._holdings_for(receiver),
            ejected=self._pool.ejected,
        )

    def _holdings_for(self, receiver: IncarnationId) -> dict[str, int]:
        now = self._clock.monotonic()
        if now != self._holdings_at:
            self._holdings_at = now
            self._holdings = self._reconciler.holdings_by_peer()
        return self._holdings.get(receiver, {})

    async def run(self) -> None:
        """Refresh the list of hosts and send heartbeats to every listed peer."""
        async with anyio.create_task_group() as group:
            while True:
                for host in await self._refresh_hosts():
                    if host not in self._peer_scopes:
                        self._peer_scopes[host] = anyio.CancelScope()
                        group.start_soon(
                            self._send_heartbeats, host, self._peer_scopes[host]
                        )
                await self._clock.sleep(self._config.timing.list_interval)

    async def _refresh_hosts(self) -> list[HostName]:
        try:
            hosts = await self._host_list.hosts()
        except StoreError:
            return []
        entries = {h.name: h for h in hosts if h.kind is HostKind.ENTRY}
        self._membership.update_hosts(entries)  # type: ignore[arg-type]
        self._pool.update(self._local_minions(hosts))
        listed = self._membership.listed_in(self._config.data_centre)
        for unlisted in [host for host in self._peer_scopes if host not in listed]:
            self._peer_scopes.pop(unlisted).cancel()
        return listed

    def _local_minions(self, hosts: list[ListedHost]) -> list[ListedHost]:
        here = self._config.data_centre
        minions = (h for h in hosts if h.kind is HostKind.MINION)
        return [minion for minion in minions if minion.data_centre == here]

    async def _send_heartbeats(self, host: HostName, scope: anyio.CancelScope) -> None:
        timing = self._config.timing
        with scope:
            while True:
                if self._is_initiator(host):
                    await self._send_heartbeat(host, timing.peer_timeout)
                await self._clock.sleep(self._membership.heartbeat_interval)

    def _is_initiator(self, host: HostName) -> bool:
        # Of two hosts only one sends heartbeats, and the reply carries the other's,
        # which halves the number of messages. The other host sends too when it has not
        # heard from the first for a while, since their lists may differ.
        if host > self._config.host:
            return True
        limit = 2 * self._membership.heartbeat_interval
        return self._membership.host_silence(host) > limit

    async def _send_heartbeat(self, host: HostName, timeout: timedelta) -> None:
        receiver = self._membership.incarnation_on(host)
        try:
            reply = await self._peers.call(host, None, self.build(receiver), timeout)
        except PeerError:
            return
        if isinstance(reply, Heartbeat):
            self.receive(reply)

    def receive(self, heartbeat: Heartbeat) -> None:
        """Process a peer's heartbeat, or its reply to one."""
        if data_centre_of(heartbeat.sender) == self._config.data_centre:
            self._membership.record_heartbeat(heartbeat)
            self._pool.record_peer_ejections(heartbeat.ejected)


__all__ = ["Heartbeats"]
