"""Know who owns each pool, and keep a way to each owner."""

from __future__ import annotations

from datetime import timedelta
from functools import partial
from typing import TYPE_CHECKING

import anyio

from brasstray.batch.ids import PoolId
from brasstray.host.owner_state import OwnerState
from brasstray.host.pool_link import PoolLink
from brasstray.pool.pool_load import PoolLoad

if TYPE_CHECKING:
    from collections.abc import Callable

    from anyio.abc import TaskGroup

    from brasstray.batch.task_name import TaskName
    from brasstray.clock.clock import Clock
    from brasstray.host.host_events import HostEvents
    from brasstray.host.identity import HostIdentity
    from brasstray.host.operator_knowledge import OperatorKnowledge
    from brasstray.host.owner_record import OwnedPool
    from brasstray.host.timing import HostTiming
    from brasstray.peer.message.run_tasks import RunTasks
    from brasstray.peer.message_stream import StreamOpener
    from brasstray.peer.pool_messages import PoolMessage


class PoolDirectory:
    """Hold the known owners; reach the own pool in the process, others by links."""

    def __init__(
        self,
        identity: HostIdentity,
        opener: StreamOpener,
        clock: Clock,
        timing: HostTiming,
        events: HostEvents,
        knowledge: OperatorKnowledge,
        on_message: Callable[[PoolId, PoolMessage], None],
        on_reachable: Callable[[PoolId, frozenset[TaskName]], None],
        has_tasks: Callable[[PoolId], bool],
    ) -> None:
        self._identity = identity
        self._evacuations = knowledge.evacuations
        self._clock = clock
        self._new_link = partial(
            PoolLink,
            identity=identity,
            opener=opener,
            clock=clock,
            timing=timing,
            events=events,
            knowledge=knowledge,
            on_message=on_message,
            on_reachable=on_reachable,
            keep_open=self._keeps_open,
            has_tasks=has_tasks,
            on_change=self._notify_change,
        )
        self._change = anyio.Event()
        self._home = PoolId(str(identity.data_centre))
        self._owned: dict[PoolId, OwnedPool] = {}
        self._links: dict[PoolId, PoolLink] = {}
        self._reserved_slots: dict[PoolId, int] = {}
        self._group: TaskGroup | None = None
        self._send_local: Callable[[PoolMessage], None] | None = None
        self._local_pool: PoolId | None = None
        self._local_load: Callable[[], PoolLoad] = PoolLoad

    def use_task_group(self, group: TaskGroup) -> None:
        """Run links in `group` from now on."""
        self._group = group

    @property
    def owners(self) -> dict[PoolId, OwnedPool]:
        """Return who owns each pool, as far as the store has told."""
        return dict(self._owned)

    def owned(self, pool: PoolId) -> OwnedPool | None:
        """Return who owns `pool`, as far as the store has told."""
        return self._owned.get(pool)

    def owns_other_pool(self, host: str) -> bool:
        """Return whether `host` owns a pool other than the one owned here."""
        return any(
            owned.owner.host == host and pool != self._local_pool
            for pool, owned in self._owned.items()
        )

    def owner_state(self, pool: PoolId) -> OwnerState:
        """Return what is seen of the listed owner of `pool`, another host."""
        link = self._links.get(pool)
        return OwnerState.UP if link is None else link.owner_state

    def owner_age(self, pool: PoolId) -> timedelta:
        """Return for how long the listed owner of `pool` has been known as such."""
        link = self._links.get(pool)
        return timedelta(0) if link is None else link.owner_age(self._clock.monotonic())

    def update_owner(self, pool: PoolId, owned: OwnedPool | None) -> None:
        """Record who owns `pool`; older news than what is known are ignored."""
        known = self._owned.get(pool)
        self._notify_change()
        if owned is None:
            self._owned.pop(pool, None)
            self._drop_link(pool)
            return
        if known is not None and owned.token <= known.token:
            return
        self._owned[pool] = owned
        unsent = self._drop_link(pool)
        if owned.owner.incarnation == self._identity.incarnation:
            return
        assert self._group is not None
        link = self._links[pool] = self._new_link(pool, owned)
        for request in unsent:
            link.tell(request)
        self._group.start_soon(link.run)

    def _notify_change(self) -> None:
        self._change.set()

    async def wait_for_change(self) -> None:
        """Wait until a pool has another owner, or an owner is seen otherwise."""
        await self._change.wait()
        self._change = anyio.Event()

    def _keeps_open(self, pool: PoolId) -> bool:
        """Return whether the link to `pool` stays open without tasks there.

        Every host watches the pool that it may take over. Owners tell one another of
        their room.
        """
        return pool == self._home or self._local_pool is not None

    def _drop_link(self, pool: PoolId) -> list[RunTasks]:
        """End the link to `pool`; return the requests that have not left this host."""
        link = self._links.pop(pool, None)
        if link is None:
            return []
        link.stop()
        return link.take_queued_requests()

    def set_local_pool(
        self,
        pool: PoolId,
        tell: Callable[[PoolMessage], None],
        load: Callable[[], PoolLoad],
    ) -> None:
        """Reach `pool` within the process from now on."""
        self._local_pool, self._send_local, self._local_load = pool, tell, load
        for link in self._links.values():
            link.request_connection()

    def clear_local_pool(self) -> None:
        """Reach no pool within the process any more."""
        self._local_pool = self._send_local = None

    # What a coordinator needs

    def reachable(self) -> dict[PoolId, PoolLoad]:
        """Return the pools whose owners are reachable, with their load."""
        found = self._all_loads()
        if self._local_pool is not None:
            found[self._local_pool] = self._local_load()
        return found

    def unasked(self) -> list[PoolId]:
        """Return the pools that are not reachable, but for which a request may wait."""
        return [
            pool
            for pool, link in self._links.items()
            if pool != self._local_pool and link.is_connectable
        ]

    def is_evacuated(self, pool: PoolId) -> bool:
        """Return whether the minions of `pool` get nothing new."""
        return self._evacuations.covers(pool)

    def all_evacuated(self) -> bool:
        """Return whether no pool is known whose minions get anything new."""
        return bool(self._owned) and all(map(self.is_evacuated, self._owned))

    def tell(self, pool: PoolId, message: PoolMessage) -> None:
        """Send `message` to the owner of `pool`; drop it if that is unreachable."""
        if pool == self._local_pool and self._send_local is not None:
            self._send_local(message)
        elif pool in self._links:
            self._links[pool].tell(message)

    # What the owner of a pool needs

    def loads(self) -> dict[PoolId, PoolLoad]:
        """Return the load of other hosts' pools to which tasks may be sent."""
        loads = self._all_loads()
        return {p: load for p, load in loads.items() if not self.is_evacuated(p)}

    def expected(self) -> bool:
        """Tell whether a pool may be reachable soon to which a link is being opened."""
        return any(not self.is_evacuated(pool) for pool in self.unasked())

    def _all_loads(self) -> dict[PoolId, PoolLoad]:
        found = {}
        for pool, link in self._links.items():
            state = link.pool_state
            if state is not None and pool != self._local_pool:
                free = state.free_slots if state.ready else 0
                left = free - self._reserved_slots.get(pool, 0)
                found[pool] = PoolLoad(max(0, left), state.wait_ms, max(0, -left))
        return found

    def reserve_slots(self, pool: PoolId, count: int) -> None:
        """Count `count` slots of `pool` as used until it reports its load again."""
        self._reserved_slots[pool] = self._reserved_slots.get(pool, 0) + count

    def reset_reserved_slots(self, pool: PoolId) -> None:
        """Take the load that `pool` has just told as it is."""
        self._reserved_slots.pop(pool, None)


__all__ = ["PoolDirectory"]
