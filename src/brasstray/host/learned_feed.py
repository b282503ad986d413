"""Pass on what the owner of the pool learns, and keep what other owners report."""

from __future__ import annotations

from dataclasses import dataclass, replace
from datetime import timedelta
from typing import TYPE_CHECKING

from msgspec.structs import replace as replace_fields

from brasstray.host.succession import rank_successors
from brasstray.peer.message.successors import Successors
from brasstray.pool.learned_encoding import decode_values, encode_values
from brasstray.pool.learned_merge import of_pool, start_values
from brasstray.pool.learned_report import SentValues, ToldNames
from brasstray.pool.learned_table import LearnedTable, best_remote

if TYPE_CHECKING:
    from collections.abc import Callable

    from brasstray.batch.ids import FencingToken, PoolId
    from brasstray.clock.clock import Clock
    from brasstray.host.host_events import HostEvents
    from brasstray.host.pool_directory import PoolDirectory
    from brasstray.host.requester_link import RequesterLink
    from brasstray.host.requester_links import RequesterLinks
    from brasstray.job.ids import HostName
    from brasstray.peer.message.pool_state import PoolState
    from brasstray.pool.learned_values import LearnedValues
    from brasstray.pool.minion_entry import MinionEntry
    from brasstray.pool.owner import PoolOwner

# Least time between two reports to a host. What was learned within it is lost with the
# owner, which is little against the minutes in which it was learned.
REPORT_INTERVAL = timedelta(seconds=2)


@dataclass
class _LinkReports:
    """Hold what was sent on a link, and when."""

    at: timedelta
    sent: SentValues


class LearnedFeed:
    """Report what the local owner learned, and start it from what others reported.

    Successors in the data centre get the values of minions and queues, owners of other
    pools those of queues. `state` returns the message to owners without the values.
    """

    def __init__(
        self,
        pool: PoolId,
        host: HostName,
        directory: PoolDirectory,
        links: RequesterLinks,
        state: Callable[[], PoolState],
        clock: Clock,
        events: HostEvents,
    ) -> None:
        self._pool = pool
        self._host = host
        self._directory = directory
        self._links = links
        self._state = state
        self._clock = clock
        self._events = events
        self._tables: dict[PoolId, LearnedTable] = {}
        self._reports: dict[RequesterLink, _LinkReports] = {}
        self._told = ToldNames()
        self._owner: PoolOwner | None = None

    # The local owner

    def start_tenure(
        self, owner: PoolOwner, minions: tuple[MinionEntry, ...] | None
    ) -> None:
        """Let a new owner start from the values of earlier ones.

        `minions` are those that the pool's last owner held, None if unknown.
        """
        self._owner = owner
        self._reports.clear()
        now = self._clock.monotonic()
        keys = None if minions is None else {entry.key for entry in minions}
        table = self._table(self._pool)
        table.token = owner.token
        self._told = ToldNames(set(table.minions), set(table.queues), set(table.sizes))
        learned = of_pool(table.values, keys)
        values = start_values(learned, now)
        owner.adopt(values)
        if values.count:
            age = learned.oldest_age(now) or timedelta(0)
            self._events.values_adopted(table.source, values.count, age)
        self._adopt_remote("other pools")

    def end_tenure(self) -> None:
        """Keep what the local owner has learned, as it may have learned it alone."""
        owner, self._owner = self._owner, None
        if owner is not None:
            table = self._table(self._pool)
            table.record(owner.learned, owner.token, str(self._host))

    # Reports to other hosts

    async def run(self) -> None:
        """Report what the local owner learns, until cancelled."""
        while True:
            await self._clock.sleep(REPORT_INTERVAL)
            self._report()

    def _report(self) -> None:
        links = list(self._links)
        self._reports = {k: v for k, v in self._reports.items() if k in links}
        owner = self._owner
        if owner is None or not links:
            return
        learned = owner.learned
        self._told.keep(learned)
        successors = rank_successors(self._links.powers)
        for link in links:
            self._report_to(link, owner, learned, successors)

    def report_to(self, link: RequesterLink) -> None:
        """Report everything to a host that has just connected, if it needs it."""
        if self._owner is not None:
            successors = rank_successors(self._links.powers)
            self._report_to(link, self._owner, self._owner.learned, successors)

    def _report_to(
        self,
        link: RequesterLink,
        owner: PoolOwner,
        learned: LearnedValues,
        successors: tuple[HostName, ...],
    ) -> None:
        succeeds = link.name in successors
        if not succeeds and not self._directory.owns_other_pool(link.name):
            return
        now = self._clock.monotonic()
        reports = self._reports.get(link)
        if reports is None:
            sent = SentValues(self._told)
            reports = self._reports[link] = _LinkReports(now - REPORT_INTERVAL, sent)
        if now - reports.at < REPORT_INTERVAL:
            return
        if not succeeds:
            learned = replace(learned, minions={})
        encoded = encode_values(reports.sent.next_report(learned, now), now)
        if encoded is None:
            return
        reports.at = now
        if succeeds:
            link.send(Successors(hosts=successors, learned=encoded, token=owner.token))
        else:
            link.send(replace_fields(self._state(), learned=encoded))

    # Reports of other hosts

    def receive(self, pool: PoolId, token: FencingToken, encoded: object) -> None:
        """Record the values that the owner of `pool` with `token` has reported."""
        if encoded is None:
            return
        owned = self._directory.owned(pool)
        source = str(pool) if owned is None else str(owned.owner.host)
        read = decode_values(encoded, self._clock.monotonic())
        if read.problems:
            self._events.values_ignored(source, len(read.problems), read.problems[0])
        table = self._table(pool)
        if owned is not None:
            # Tokens may start anew in the store, and one in a message may be wrong.
            table.token = owned.token
        if not table.record(read.values, token, source):
            self._events.values_ignored(source, read.values.count, "replaced owner")
        elif pool != self._pool:
            self._adopt_remote(source)

    def _adopt_remote(self, source: str) -> None:
        if self._owner is None:
            return
        now = self._clock.monotonic()
        used = self._owner.adopt_remote(best_remote(self._other_tables(), now))
        if used:
            age = max(now - value.learned_at for value in used)
            self._events.values_adopted(source, len(used), age)

    def _other_tables(self) -> dict[PoolId, LearnedTable]:
        return {p: table for p, table in self._tables.items() if p != self._pool}

    def _table(self, pool: PoolId) -> LearnedTable:
        return self._tables.setdefault(pool, LearnedTable())


__all__ = ["REPORT_INTERVAL", "LearnedFeed"]
