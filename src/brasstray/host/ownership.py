"""Track the owners of all pools, and claim this data centre's pool if it is vacant."""

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
    decode_owned_pool,
    pool_from_key,
    pool_key,
)
from brasstray.host.owner_state import OwnerState
from brasstray.host.store_follower import follow_store
from brasstray.host.takeover_backoff import TakeoverBackoff
from brasstray.store.errors import (
    HistoryLostError,
    StoreConflictError,
    StoreUnavailableError,
)
from brasstray.store.store import ABSENT
from brasstray.store.watchable_store import Changes, Snapshot

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
    """Claim the pool by compare-and-swap when no reachable host owns it.

    Claiming it from a live owner is safe, as minions obey only the highest token. But
    runs whose leases expire during the takeover are lost, so the listed owner is given
    time first.
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
        on_acquired: Callable[[OwnedPool], None],
        on_lost: Callable[[str], None],
        on_replaced_alive: Callable[[], None],
        succession: Succession,
        evacuations: Evacuations,
        check_suspension: Callable[[], None],
    ) -> None:
        self._pool = pool
        self._identity = identity
        self._store = store
        self._directory = directory
        self._clock = clock
        self._random = random
        self._timing = timing
        self._events = events
        self._on_acquired = on_acquired
        self._on_lost = on_lost
        self._on_replaced_alive = on_replaced_alive
        self._succession = succession
        self._evacuations = evacuations
        self._check_suspension = check_suspension
        self._token_held = 0
        self._token_released = 0
        self._confirmed_at = timedelta(0)
        self._known = False
        self._read_failed = False
        self._draining = False
        self._vacant_since: timedelta | None = None
        self._vacancy_timeout = timedelta(0)
        self._takeover_backoff = TakeoverBackoff(timing.takeover_window)

    @property
    def known(self) -> bool:
        """Return whether the store has been read since this host started."""
        return self._known

    @property
    def confirmed_at(self) -> timedelta:
        """Return when the store last confirmed that this host owns the pool."""
        return self._confirmed_at

    def drain(self) -> None:
        """Stop claiming the pool."""
        self._draining = True

    def release(self) -> None:
        """Record that this host no longer acts under its token."""
        self._token_released = max(self._token_released, self._token_held)
        self._token_held = 0

    def reset_vacancy(self) -> None:
        """Give the listed owner its time anew: whether it is silent is not known."""
        self._vacant_since = None

    async def confirm(self, owned: OwnedPool) -> bool:
        """Return whether the store confirms `owned`, False if it is unavailable."""
        try:
            entry = await self._store.get(pool_key(self._pool))
        except StoreUnavailableError as error:
            self._events.store_lost("pools", str(error))
            return False
        return entry is not None and entry.version == owned.token

    async def follow(self) -> None:
        """Apply changes of the store's entries until cancelled."""
        await follow_store(
            "pools",
            self._read_store,
            self._clock,
            self._timing.store_retry_delay,
            self._events,
        )

    async def _read_store(self, as_of: int | None) -> int:
        """Read all entries, or the changes after `as_of`; return the version read."""
        read: Snapshot | Changes
        try:
            if as_of is None:
                read = await self._store.snapshot(POOL_PREFIX)
            else:
                read = await self._store.watch(
                    POOL_PREFIX, as_of, self._timing.pool_watch_timeout
                )
        except (StoreUnavailableError, HistoryLostError):
            self._read_failed = True
            raise
        match read:
            case Snapshot():
                self._apply_snapshot(read.entries)
            case Changes():
                self._apply_changes(read)
        self._read_failed = False
        return read.as_of

    def _apply_changes(self, changes: Changes) -> None:
        for entry in changes.written:
            self._apply_entry(entry)
        for key in changes.removed:
            self._apply_removal(key)
        self._record_confirmation()

    def _record_confirmation(self) -> None:
        if self._token_held:
            self._confirmed_at = self._clock.monotonic()

    def _apply_snapshot(self, entries: tuple[StoreEntry, ...]) -> None:
        for entry in entries:
            self._apply_entry(entry)
        listed = {entry.name for entry in entries}
        if pool_key(self._pool) not in listed:
            self._apply_removal(pool_key(self._pool))
        self._known = True

    def _apply_entry(self, entry: StoreEntry) -> None:
        pool = pool_from_key(entry.name)
        try:
            owned = decode_owned_pool(entry)
        except ValueError as error:
            self._events.pool_claim_failed(pool, f"malformed store entry: {error}")
            return
        if self._may_be_replaced_alive(pool, owned):
            self._on_replaced_alive()
        self._directory.update_owner(pool, owned)
        if pool == self._pool:
            self._takeover_backoff.record_owner(owned.token, self._clock.monotonic())
        if pool == self._pool and self._token_held < owned.token:
            if owned.owner.incarnation != self._identity.incarnation:
                self._drop_ownership(f"claimed by {owned.owner.incarnation}")
            elif not self._draining and owned.token > self._token_released:
                # The claim was written, although the reply to it was lost.
                self._acquire(owned)

    def _may_be_replaced_alive(self, pool: PoolId, owned: OwnedPool) -> bool:
        """Return whether `owned` replaces an owner that may still have sent state.

        It reaches this host, or the replacement was learned late: it may have reported
        on the pool after it was replaced.
        """
        known = self._directory.owned(pool)
        if pool != self._pool or known is None or owned.token <= known.token:
            return False
        reaches = (OwnerState.UP, OwnerState.RESIGNING)
        return self._read_failed or self._directory.owner_state(pool) in reaches

    def _apply_removal(self, key: str) -> None:
        self._directory.update_owner(pool_from_key(key), None)
        if key == pool_key(self._pool):
            self._drop_ownership("store entry removed")

    def _drop_ownership(self, reason: str) -> None:
        if self._token_held:
            self.release()
            self._on_lost(reason)

    async def claim_when_vacant(self) -> None:
        """Claim the pool whenever no reachable host owns it, until cancelled."""
        while True:
            if self._token_held or self._has_reachable_owner():
                # The loss of the owner, including by silence, ends this wait.
                with anyio.move_on_after(
                    self._timing.vacancy_check_interval.total_seconds()
                ):
                    await self._directory.wait_for_change()
            else:
                await self._clock.sleep(self._timing.tick)
            if self._may_claim and self._is_claim_due():
                await self._claim()
                self._vacant_since = None

    @property
    def _may_claim(self) -> bool:
        """Return whether this host knows enough to own the pool and is not draining.

        A host that was just started and has not read the evacuations yet must not order
        minions: it might start tasks in an evacuated data centre.
        """
        return self._known and self._evacuations.current.was_read and not self._draining

    def _is_claim_due(self) -> bool:
        self._check_suspension()
        if self._token_held or not self._is_vacant():
            self._vacant_since = None
            return False
        now = self._clock.monotonic()
        if self._vacant_since is None:
            self._vacant_since = now
            timeout = self._timing.vacancy_timeout + self._claim_delay()
            self._vacancy_timeout = timeout * self._takeover_backoff.timeout_factor(now)
        return now - self._vacant_since >= self._vacancy_timeout

    def _claim_delay(self) -> timedelta:
        """Return the wait for hosts ranked before this one, jittered if unranked."""
        claim_delay = self._succession.claim_delay
        if self._succession.is_successor:
            return claim_delay
        return claim_delay + self._random.random() * self._timing.claim_jitter

    def _has_reachable_owner(self) -> bool:
        owned = self._directory.owned(self._pool)
        if owned is None or owned.owner.host == self._identity.host:
            return False
        return self._directory.owner_state(self._pool) is OwnerState.UP

    def _is_vacant(self) -> bool:
        owned = self._directory.owned(self._pool)
        if owned is None or owned.owner.host == self._identity.host:
            return True
        match self._directory.owner_state(self._pool):
            case OwnerState.LOST | OwnerState.GONE | OwnerState.RESIGNING:
                return True
            case OwnerState.EXPECTED:
                # Without this timeout, takeovers can cascade on slow hosts: each one
                # loads all hosts, so the next owner answers even later and is replaced
                # as well.
                owner_age = self._directory.owner_age(self._pool)
                return owner_age >= self._timing.new_owner_timeout
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
            version = await self._store.compare_and_swap(key, value, expected)
        except StoreConflictError:
            self._events.pool_claim_failed(self._pool, "claimed by another host")
            await self.refresh()
        except StoreUnavailableError as error:
            self._events.pool_claim_failed(self._pool, str(error))
            await self._clock.sleep(self._timing.store_retry_delay)
            await self.refresh()
        else:
            entry_owner = OwnedPool(owner=record, token=FencingToken(version))
            self._directory.update_owner(self._pool, entry_owner)
            self._acquire(entry_owner)

    def _acquire(self, owned: OwnedPool) -> None:
        self._token_held = owned.token
        self._record_confirmation()
        self._on_acquired(owned)

    async def refresh(self) -> None:
        """Read the owner of the pool from the store, and apply any change."""
        try:
            entry = await self._store.get(pool_key(self._pool))
        except StoreUnavailableError as error:
            self._events.store_lost("pools", str(error))
            return
        if entry is None:
            self._apply_removal(pool_key(self._pool))
        else:
            self._apply_entry(entry)
        self._record_confirmation()


__all__ = ["Ownership"]
