"""Cache the operators' table on this host, and fetch newer versions."""

from __future__ import annotations

from typing import TYPE_CHECKING

from eliot import log_message

from brasstray.job.incarnation import host_of
from brasstray.peer.errors import PeerError
from brasstray.peer.messages import TableReply, TableRequest
from brasstray.table.errors import TableError
from brasstray.table.table import Table

if TYPE_CHECKING:
    from brasstray.clock.clock import Clock
    from brasstray.entry.config import EntryConfig
    from brasstray.entry.journal_service import JournalService
    from brasstray.entry.membership import Membership
    from brasstray.job.ids import IncarnationId
    from brasstray.peer.peers import Peers
    from brasstray.table.table_store import TableStore


class TableCache:
    """Cache the newest known version of the table; never replace it by an older one.

    The leader of the data centre reads the table from the platform. Other hosts see
    the version in heartbeats and fetch the table from a peer that has it. A host that
    has just started serves no jobs until the platform or a peer has supplied a table.
    """

    def __init__(
        self,
        config: EntryConfig,
        membership: Membership,
        journal_service: JournalService,
        store: TableStore,
        peers: Peers,
        clock: Clock,
    ) -> None:
        self._config = config
        self._membership = membership
        self._journal_service = journal_service
        self._store = store
        self._peers = peers
        self._clock = clock
        self._table = Table()
        self._ready = False

    @property
    def table(self) -> Table:
        """Return the table in force on this host."""
        return self._table

    @property
    def ready(self) -> bool:
        """Return whether the platform or a peer has supplied a table."""
        return self._ready

    def adopt(self, table: Table) -> None:
        """Use `table` from now on if it is newer than the cached version."""
        # A peer or a replica of the store may reply with an old version, and replies
        # may arrive out of order.
        if table.version > self._table.version:
            self._table = table
            log_message("brasstray:table", version=table.version, author=table.author)
        self._ready = True

    async def run(self) -> None:
        """Check for newer versions until cancelled."""
        while True:
            if not self._ready or self._journal_service.leader is not None:
                await self._read_store()
            await self._fetch_from_newest_peer()
            await self._clock.sleep(self._config.timing.table_interval)

    async def _read_store(self) -> None:
        try:
            tables = await self._store.read(self._table.version)
        except TableError:
            return
        self.adopt(tables[-1] if tables else self._table)

    async def _fetch_from_newest_peer(self) -> None:
        live = self._membership.live()
        newest_peer = max(live, key=lambda member: member.table_version, default=None)
        if newest_peer is None:
            return
        if newest_peer.table_version > self._table.version or not self._ready:
            await self._fetch(newest_peer.incarnation)

    async def _fetch(self, peer: IncarnationId) -> None:
        timeout = self._config.timing.peer_timeout
        try:
            reply = await self._peers.call(host_of(peer), peer, TableRequest(), timeout)
        except PeerError:
            return
        if isinstance(reply, TableReply) and reply.ready:
            self.adopt(reply.table)

    async def change(self, wanted: Table) -> Table:
        """Store `wanted` as the new table, used here at once and elsewhere in seconds.

        Raise TableConflictError or TableUnavailableError.
        """
        changed = await self._store.change(wanted)
        self.adopt(changed)
        return changed

    async def history(self) -> list[Table]:
        """Return all versions, oldest first; raise TableUnavailableError."""
        return await self._store.read()

    async def versions(self) -> dict[str, int | None]:
        """Return the version that each listed host uses; None if it does not reply."""
        versions_by_host: dict[str, int | None] = {
            self._config.host: self._table.version
        }
        for data_centre in self._config.data_centres:
            for host in self._membership.listed_in(data_centre):
                timeout = self._config.timing.peer_timeout
                try:
                    reply = await self._peers.call(host, None, TableRequest(), timeout)
                except PeerError:
                    versions_by_host[host] = None
                    continue
                match reply:
                    case TableReply(table=table):
                        versions_by_host[host] = table.version
                    case _:
                        versions_by_host[host] = None
        return versions_by_host


__all__ = ["TableCache"]
