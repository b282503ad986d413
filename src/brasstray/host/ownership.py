"""Follow who owns the pools, and claim the pool of this data centre if it is vacant."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

import anyio
import msgspec

from brasstray.batch.ids import FencingToken
from brasstray.host.owner_record import (
    POOL_PREFIX,
    OwnedPool,
    OwnerRecord,
    owned_pool,
    pool_key,
    pool_of,
)
from brasstray.host.owner_state import OwnerState
from brasstray.host.store_follower import follow_store
from brasstray.host.takeover_backoff import TakeoverBackoff
from brasstray.store.errors import StoreConflictError, StoreUnavailableError
from brasstray.store.store import ABSENT

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from brasstray.batch.ids import PoolId
    from brasstray.clock.clock import Clock
    from brasstray.host.evacuations import Evacuations
    from brasstray.host.host_events import HostEvents
    from brasstray.host.identity import HostIdentity
    from brasstray.host.pool_directory import PoolDirectory
    from brasstray.host.succession import Succession
    from brasstray.host.timing import HostTiming
    from brasstray.store.entry import StoreEntry
    from brasstray.store.watchable_store import WatchableStore


class Ownership:
    """Take the pool by compare-and-swap when no reachable host owns it.

    Taking it from an owner that lives is safe: minions obey the highest token only.
    It costs the runs that expire meanwhile, so the listed owner is given time first.
    """

    def __init__(
        self,
        pool: PoolId,
        identity: HostIdentity,
        store: WatchableStore,
        directory: PoolDirectory,
        clock: Clock,
        random: Random,
        timing: HostTiming,
        events: HostEvents,
        take: Callable[[OwnedPool], None],
        leave: Callable[[str], None],
        succession: Succession,
        evacuations: Evacuations,
    ) -> None:
        self._pool = pool
        self._identity = identity
        self._store = store
        self._directory = directory
        self._clock = clock
        self._random = random
        self._timing = timing
        self._events = events
        self._take = take
        self._leave = leave
        self._succession = succession
        self._evacuations = evacuations
        self._token_held = 0
        self._token_left = 0
        self._confirmed_at = timedelta(0)
        self._known = False
        self._draining = False
        self._vacant_since: timedelta | None = None
        self._timeout = timedelta(0)
        self._recent = TakeoverBackoff(timing.takeover_memory)

    @property
    def known(self) -> bool:
        """Return whether the store has been read since the start."""
        return self._known

    @property
    def confirmed_at(self) -> timedelta:
        """Return when the store last said that this host owns the pool."""
        return self._confirmed_at

    def drain(self) -> None:
        """Claim nothing from now on."""
        self._draining = True

    def drop(self) -> None:
        """Record that this host acts under its token no more."""
        self._token_left = max(self._token_left, self._token_held)
        self._token_held = 0

    async def confirm(self, owned: OwnedPool) -> bool:
        """Tell whether the store says that the pool is still owned as `owned` says."""
        try:
            entry = await self._store.get(pool_key(self._pool))
        except StoreUnavailableError as error:
            self._events.store_lost("pools", str(error))
            return False
        return entry is not None and entry.version == owned.token

    async def follow(self) -> None:
        """Follow the store's entries until cancelled."""
        await follow_store(
            "pools",
            self._learn_after,
            self._clock,
            self._timing.store_retry,
            self._events,
        )

    async def _learn_after(self, as_of: int | None) -> int:
        """Learn of all pools, or of what came after `as_of`; return what is known."""
        if as_of is None:
            found = await self._store.snapshot(POOL_PREFIX)
            self._learn_all(found.entries)
            return found.as_of
        changes = await self._store.watch(POOL_PREFIX, as_of, self._timing.pool_watch)
        for entry in changes.written:
            self._learn(entry)
        for key in changes.removed:
            self._forget(key)
        self._note_confirmed()
        return changes.as_of

    def _note_confirmed(self) -> None:
        if self._token_held:
            self._confirmed_at = self._clock.monotonic()

    def _learn_all(self, entries: tuple[StoreEntry, ...]) -> None:
        for entry in entries:
            self._learn(entry)
        listed = {entry.name for entry in entries}
        if pool_key(self._pool) not in listed:
            self._forget(pool_key(self._pool))
        self._known = True

    def _learn(self, entry: StoreEntry) -> None:
        pool = pool_of(entry.name)
        try:
            owned = owned_pool(entry)
        except ValueError as error:
            self._events.pool_claim_failed(pool, f"unreadable entry: {error}")
            return
        self._directory.learn(pool, owned)
        if pool == self._pool:
            self._recent.note(owned.token, self._clock.monotonic())
        if pool == self._pool and self._token_held < owned.token:
            if owned.owner.incarnation != self._identity.incarnation:
                self._lose(f"taken by {owned.owner.incarnation}")
            elif not self._draining and owned.token > self._token_left:
                # The reply to our claim was lost, but the store shows that it was
                # written.
                self._hold(owned)

    def _forget(self, key: str) -> None:
        self._directory.learn(pool_of(key), None)
        if key == pool_key(self._pool):
            self._lose("the entry was removed")

    def _lose(self, why: str) -> None:
        if self._token_held:
            self.drop()
            self._leave(why)

    async def claim_when_vacant(self) -> None:
        """Claim the pool whenever no reachable host owns it."""
        while True:
            if self._token_held or self._is_sure_owned():
                # An owner that is lost, also by silence, ends this wait.
                with anyio.move_on_after(self._timing.vacancy_check.total_seconds()):
                    await self._directory.wait_for_change()
            else:
                await self._clock.sleep(self._timing.tick)
            if self._may_claim and self._is_due():
                await self._claim()
                self._vacant_since = None

    @property
    def _may_claim(self) -> bool:
        """Return whether this host knows enough to own the pool, and stays.

        Guards against starts in an evacuated data centre by a host that was just
        started: one that has not read which those are must not order minions.
        """
        return self._known and self._evacuations.current.known and not self._draining

    def _is_due(self) -> bool:
        if self._token_held or not self._is_vacant():
            self._vacant_since = None
            return False
        now = self._clock.monotonic()
        if self._vacant_since is None:
            self._vacant_since = now
            timeout = self._timing.vacancy_timeout + self._turn()
            self._timeout = timeout * self._recent.timeout_factor(now)
        return now - self._vacant_since >= self._timeout

    def _turn(self) -> timedelta:
        """Return how long this host leaves the pool to those that come before it."""
        head_start = self._succession.head_start
        if self._succession.named:
            return head_start
        return head_start + self._random.random() * self._timing.claim_jitter

    def _is_sure_owned(self) -> bool:
        owned = self._directory.owned(self._pool)
        if owned is None or owned.owner.host == self._identity.host:
            return False
        return self._directory.reach(self._pool) is OwnerState.UP

    def _is_vacant(self) -> bool:
        owned = self._directory.owned(self._pool)
        if owned is None or owned.owner.host == self._identity.host:
            return True
        match self._directory.reach(self._pool):
            case OwnerState.LOST | OwnerState.GONE | OwnerState.RESIGNING:
                return True
            case OwnerState.EXPECTED:
                # On slow hosts, takeovers could chain: each makes work for all hosts,
                # so that the next owner answers later still and is replaced as well.
                known_for = self._directory.known_for(self._pool)
                return known_for >= self._timing.newcomer_timeout
            case OwnerState.UP:
                return False

    async def _claim(self) -> None:
        owned = self._directory.owned(self._pool)
        record = OwnerRecord(
            host=self._identity.host,
            incarnation=self._identity.incarnation,
            address=self._identity.address,
            port=self._identity.peer_port,
        )
        key = pool_key(self._pool)
        value = msgspec.json.encode(record)
        expected = ABSENT if owned is None else int(owned.token)
        try:
            version = await self._store.swap(key, value, expected)
        except StoreConflictError:
            self._events.pool_claim_failed(self._pool, "taken by another host")
            await self.refresh()
        except StoreUnavailableError as error:
            self._events.pool_claim_failed(self._pool, str(error))
            await self._clock.sleep(self._timing.store_retry)
            await self.refresh()
        else:
            entry_owner = OwnedPool(owner=record, token=FencingToken(version))
            self._directory.learn(self._pool, entry_owner)
            self._hold(entry_owner)

    def _hold(self, owned: OwnedPool) -> None:
        self._token_held = owned.token
        self._note_confirmed()
        self._take(owned)

    async def refresh(self) -> None:
        """Ask the store who owns the pool, and act on what it says."""
        try:
            entry = await self._store.get(pool_key(self._pool))
        except StoreUnavailableError as error:
            self._events.store_lost("pools", str(error))
            return
        if entry is None:
            self._forget(pool_key(self._pool))
        else:
            self._learn(entry)
        self._note_confirmed()


__all__ = ["Ownership"]
