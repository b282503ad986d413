"""Track the owner of each pool, and route messages to it."""

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
    from brasstray.host.operator_state import OperatorState
    from brasstray.host.owner_record import OwnedPool
    from brasstray.host.timing import HostTiming
    from brasstray.peer.message.run_tasks import RunTasks
    from brasstray.peer.message_stream import StreamOpener
    from brasstray.peer.pool_messages import PoolMessage

_MILLISECOND = timedelta(milliseconds=1)


class PoolDirectory:
    """Hold the known owners; route to the local pool directly, to others by links."""

    def __init__(
        self,
        identity: HostIdentity,
        opener: StreamOpener,
        clock: Clock,
        uptime: Callable[[], timedelta],
        timing: HostTiming,
        events: HostEvents,
        operator_state: OperatorState,
        on_message: Callable[[PoolId, PoolMessage], None],
        on_reachable: Callable[[PoolId, frozenset[TaskName]], None],
        has_tasks: Callable[[PoolId], bool],
    ) -> None:
        self._identity = identity
        self._evacuations = operator_state.evacuations
        self._clock = clock
        self._new_link = partial(
            PoolLink,
            identity=identity,
            opener=opener,
            clock=clock,
            uptime=uptime,
            timing=timing,
            events=events,
            operator_state=operator_state,
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
        """Run links in `group`; call this before the first owner is recorded."""
        self._group = group

    @property
    def owners(self) -> dict[PoolId, OwnedPool]:
        """Return the owner of each pool, as last read from the store."""
        return dict(self._owned)

    def owned(self, pool: PoolId) -> OwnedPool | None:
        """Return the owner of `pool`, as last read from the store."""
        return self._owned.get(pool)

    def owns_other_pool(self, host: str) -> bool:
        """Return whether `host` owns a pool other than the one owned here."""
        return any(
            owned.owner.host == host and pool != self._local_pool
            for pool, owned in self._owned.items()
        )

    def owner_state(self, pool: PoolId) -> OwnerState:
        """Return the state of the link to the owner of `pool`, UP without a link."""
        link = self._links.get(pool)
        return OwnerState.UP if link is None else link.owner_state

    def owner_age(self, pool: PoolId) -> timedelta:
        """Return how long ago this host learned of the current owner of `pool`."""
        link = self._links.get(pool)
        return timedelta(0) if link is None else link.owner_age(self._clock.monotonic())

    def update_owner(self, pool: PoolId, owned: OwnedPool | None) -> None:
        """Record the owner of `pool`, None if it has none; ignore an older owner."""
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
            link.send(request)
        self._group.start_soon(link.run)

    def _notify_change(self) -> None:
        self._change.set()

    async def wait_for_change(self) -> None:
        """Wait until a pool has a new owner, or the state of an owner changes."""
        await self._change.wait()
        self._change = anyio.Event()

    def _keeps_open(self, pool: PoolId) -> bool:
        """Return whether the link to `pool` stays open while no tasks are placed there.

        Every host monitors the pool that it may take over, and owners report their free
        slots to one another.
        """
        return pool == self._home or self._local_pool is not None

    def _drop_link(self, pool: PoolId) -> list[RunTasks]:
        """Close the link to `pool`; return the requests that were not sent yet."""
        link = self._links.pop(pool, None)
        if link is None:
            return []
        link.stop()
        return link.take_queued_requests()

    def set_local_pool(
        self,
        pool: PoolId,
        send: Callable[[PoolMessage], None],
        load: Callable[[], PoolLoad],
    ) -> None:
        """Route messages for `pool` to `send`, as this host owns it now."""
        self._local_pool, self._send_local, self._local_load = pool, send, load
        for link in self._links.values():
            link.request_connection()

    def clear_local_pool(self) -> None:
        """Stop routing to a local pool, as this host no longer owns one."""
        self._local_pool = self._send_local = None

    # Interface to the coordinator (Pools)

    def reachable(self) -> dict[PoolId, PoolLoad]:
        """Return the pools whose owners are reachable, with their load."""
        found = self._all_loads()
        if self._local_pool is not None:
            found[self._local_pool] = self._local_load()
        return found

    def connectable(self) -> list[PoolId]:
        """Return the pools that are not reachable yet, but accept requests."""
        return [
            pool
            for pool, link in self._links.items()
            if pool != self._local_pool and link.is_connectable
        ]

    def is_evacuated(self, pool: PoolId) -> bool:
        """Return whether `pool` is evacuated: its minions start no new tasks."""
        return self._evacuations.is_evacuated(pool)

    def all_evacuated(self) -> bool:
        """Return whether every known pool is evacuated, and at least one is known."""
        return bool(self._owned) and all(map(self.is_evacuated, self._owned))

    def send(self, pool: PoolId, message: PoolMessage) -> None:
        """Send `message` to the owner of `pool`; drop it if it cannot be delivered."""
        if pool == self._local_pool and self._send_local is not None:
            self._send_local(message)
        elif pool in self._links:
            self._links[pool].send(message)

    # Interface to the owner of the local pool (OtherPools)

    def loads(self) -> dict[PoolId, PoolLoad]:
        """Return the loads of other hosts' reachable pools that are not evacuated."""
        loads = self._all_loads()
        return {p: load for p, load in loads.items() if not self.is_evacuated(p)}

    def any_connectable(self) -> bool:
        """Return whether a pool that is not evacuated may become reachable soon."""
        return any(not self.is_evacuated(pool) for pool in self.connectable())

    def _all_loads(self) -> dict[PoolId, PoolLoad]:
        found = {}
        for pool, link in self._links.items():
            state = link.pool_state
            if state is not None and pool != self._local_pool:
                free = state.free_slots if state.ready else 0
                left = free - self._reserved_slots.get(pool, 0)
                found[pool] = PoolLoad(
                    max(0, left),
                    state.wait_ms,
                    max(0, -left),
                    state.waits_ms,
                    link.state_age // _MILLISECOND,
                )
        return found

    def reserve_slots(self, pool: PoolId, count: int) -> None:
        """Count `count` slots of `pool` as used until its next load report."""
        self._reserved_slots[pool] = self._reserved_slots.get(pool, 0) + count

    def reset_reserved_slots(self, pool: PoolId) -> None:
        """Discard reservations of `pool`, as a newer load report has arrived."""
        self._reserved_slots.pop(pool, None)


__all__ = ["PoolDirectory"]
