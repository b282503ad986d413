"""Keep a connection to the owner of one pool."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

import anyio

from brasstray.batch.task_name import TaskName
from brasstray.host.owner_state import OwnerState
from brasstray.peer.message.hello import Hello
from brasstray.peer.message.ping import Ping
from brasstray.peer.message.pool_state import PoolState
from brasstray.peer.message.run_tasks import RunTasks
from brasstray.peer.message.stop_tasks import StopTasks
from brasstray.peer.message.successors import Successors
from brasstray.peer.message.tasks_returned import TasksReturned
from brasstray.peer.message_stream import NobodyListensError, StreamClosedError
from brasstray.peer.pipe import Pipe

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from brasstray.batch.ids import PoolId
    from brasstray.clock.clock import Clock
    from brasstray.host.host_events import HostEvents
    from brasstray.host.identity import HostIdentity
    from brasstray.host.operator_knowledge import OperatorKnowledge
    from brasstray.host.owner_record import OwnedPool
    from brasstray.host.timing import HostTiming
    from brasstray.peer.message_stream import StreamOpener
    from brasstray.peer.pool_messages import PoolMessage


# Bursts that forward tasks return within seconds; keeping the link saves reopening it.
IDLE_TIMEOUT = timedelta(seconds=3)
# How long a request waits for a link that cannot be opened, about a takeover.
QUEUED_REQUEST_TIMEOUT = timedelta(milliseconds=300)
# After it could not be reached, an owner is not asked for this long while others are.
UNREACHABLE_BACKOFF = timedelta(seconds=1)


class PoolLink:
    """Connect to an owner while it is wanted, and tell whether it is reachable.

    The owner is reachable once it has said that it owns the pool under the token that
    the store shows, or a higher one.

    Heartbeats of links from every host to every owner would grow with the fleet. So a
    link is kept where `keep` says so, and else opened with the first request and closed
    once nothing was sent for IDLE_TIME and `busy` denies that tasks are there.
    """

    def __init__(
        self,
        pool: PoolId,
        owned: OwnedPool,
        identity: HostIdentity,
        opener: StreamOpener,
        clock: Clock,
        timing: HostTiming,
        events: HostEvents,
        knowledge: OperatorKnowledge,
        on_message: Callable[[PoolId, PoolMessage], None],
        on_reachable: Callable[[PoolId, frozenset[TaskName]], None],
        keep_open: Callable[[PoolId], bool],
        has_tasks: Callable[[PoolId], bool],
        on_change: Callable[[], None],
    ) -> None:
        self._pool = pool
        self._owned = owned
        self._identity = identity
        self._opener = opener
        self._clock = clock
        self._timing = timing
        self._events = events
        self._knowledge = knowledge
        self._on_message = on_message
        self._on_reachable = on_reachable
        self._keep_open = keep_open
        self._has_tasks = has_tasks
        self._on_change = on_change
        self._wake = anyio.Event()
        self._queued: list[RunTasks] = []
        self._last_request_at = clock.monotonic()
        self._failed_at: timedelta | None = None
        self._pipe: Pipe | None = None
        self._tasks_sent_early: set[TaskName] = set()
        self._closed_as_idle = False
        self._is_successor = True
        self._pool_state: PoolState | None = None
        self._scope = anyio.CancelScope()
        self._owner_state = OwnerState.EXPECTED
        self._learned_at = clock.monotonic()

    @property
    def pool_state(self) -> PoolState | None:
        """Return what the owner last said, while it is reachable."""
        return self._pool_state

    @property
    def owner_state(self) -> OwnerState:
        """Return what the link shows of the owner."""
        return self._owner_state

    @property
    def is_connectable(self) -> bool:
        """Return whether a request may wait here for the link, as far as is known."""
        if self._pool_state is not None or self._owner_state is not OwnerState.EXPECTED:
            return False
        failed = self._failed_at
        now = self._clock.monotonic()
        return failed is None or now - failed >= UNREACHABLE_BACKOFF

    def owner_age(self, now: timedelta) -> timedelta:
        """Return for how long the owner has been known as such."""
        return now - self._learned_at

    def tell(self, message: PoolMessage) -> None:
        """Send `message`; a request opens the link, anything else is dropped then."""
        match message:
            case RunTasks():
                self._send_request(message)
            case StopTasks() if self._pipe is None:
                # A request sent after its job has ended would start orphaned runs.
                self._queued = [r for r in self._queued if r.batch != message.batch]
            case _ if self._pipe is not None:
                self._pipe.tell(message)

    def _send_request(self, request: RunTasks) -> None:
        self._last_request_at = self._clock.monotonic()
        self._wake.set()
        if self._pool_state is None:
            self._tasks_sent_early.update(_tasks_of(request))
        if self._pipe is not None:
            self._pipe.tell(request)
        elif not request.claimed:
            self._queued.append(request)

    def request_connection(self) -> None:
        """Open the link now."""
        self._wake.set()

    def stop(self) -> None:
        """End `run`."""
        self._scope.cancel()

    async def run(self) -> None:
        """Stay connected while the owner is wanted, until stopped."""
        with self._scope:
            while True:
                if not (self._keep_open(self._pool) or self._has_tasks(self._pool)):
                    await self._wake.wait()
                self._wake.set()
                await self._connect_once()
                await self._clock.sleep(self._timing.reconnect_delay)

    async def _connect_once(self) -> None:
        owner = self._owned.owner
        try:
            stream = await self._opener.open(owner.address, owner.port)
        except NobodyListensError:
            self._mark_unreachable("nobody listens", OwnerState.GONE)
            self._return_unsent()
            return
        except StreamClosedError:
            self._return_unsent()
            return
        self._is_successor = True
        pipe = self._pipe = Pipe(
            stream, self._timing.owner_silence_timeout, self._handle_message
        )
        reason = "stopped"
        pipe.tell(
            Hello(
                host=self._identity.host,
                incarnation=self._identity.incarnation,
                config_version=self._knowledge.config.version,
                evacuations=self._knowledge.evacuations.current,
                power=self._identity.power,
            )
        )
        requests = self.take_queued_requests()
        for request in requests:
            pipe.tell(request)
        self._tasks_sent_early = {
            task for request in requests for task in _tasks_of(request)
        }
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(self._ping, pipe, group.cancel_scope)
                reason = await pipe.run()
                group.cancel_scope.cancel()
        finally:
            self._pipe = None
            if self._closed_as_idle:
                self._reset_after_idle()
            else:
                self._mark_unreachable(reason, OwnerState.LOST)

    def take_queued_requests(self) -> list[RunTasks]:
        """Return the requests that wait for the link, and forget them."""
        requests, self._queued = self._queued, []
        return requests

    def _return_unsent(self) -> None:
        """Return requests that never left this host, as their pool is unreachable.

        Guards against a job that waits for a link that cannot be opened, as to a data
        centre beyond a cut: it is known that nothing of it was sent. Before that, the
        owner may be one that has just died, and a successor about to take over.
        """
        self._failed_at = self._clock.monotonic()
        if (
            self._queued
            and self._failed_at - self._last_request_at < QUEUED_REQUEST_TIMEOUT
        ):
            return
        for request in self.take_queued_requests():
            returned = TasksReturned(
                batch=request.batch,
                step=request.step,
                indices=request.indices,
                begun=request.begun,
            )
            self._on_message(self._pool, returned)
        if not self._keep_open(self._pool):
            self._wake = anyio.Event()

    def _reset_after_idle(self) -> None:
        """Record that the link is closed since nobody needs it."""
        self._closed_as_idle = False
        self._pool_state = None
        self._owner_state = OwnerState.EXPECTED
        self._wake = anyio.Event()

    async def _ping(self, pipe: Pipe, scope: anyio.CancelScope) -> None:
        while True:
            frequent = self._is_successor or self._has_tasks(self._pool)
            timing = self._timing
            await self._clock.sleep(
                timing.heartbeat_interval
                if frequent
                else timing.slow_heartbeat_interval
            )
            if self._is_idle():
                self._closed_as_idle = True
                scope.cancel()
            pipe.tell(
                Ping(
                    config_version=self._knowledge.config.version,
                    evacuations=self._knowledge.evacuations.current,
                )
            )

    def _is_idle(self) -> bool:
        if self._keep_open(self._pool) or self._has_tasks(self._pool):
            return False
        return self._clock.monotonic() - self._last_request_at >= IDLE_TIMEOUT

    def _handle_message(self, message: PoolMessage) -> None:
        if isinstance(message, PoolState):
            self._update_state(message)
        elif isinstance(message, Successors) and self._pipe is not None:
            self._is_successor = self._identity.host in message.hosts
            timing = self._timing
            self._pipe.allow_silence(
                timing.owner_silence_timeout
                if self._is_successor
                else timing.slow_owner_silence_timeout
            )
        self._on_message(self._pool, message)

    def _update_state(self, pool_state: PoolState) -> None:
        if pool_state.pool == self._pool and pool_state.token >= self._owned.token:
            was_up = self._pool_state is not None
            self._pool_state = pool_state
            resigning = pool_state.resigning
            self._set_owner_state(OwnerState.RESIGNING if resigning else OwnerState.UP)
            if not was_up:
                self._events.link_up(self._pool, self._owned.owner.host)
                self._failed_at = None
                # Requests that opened the link were sent on it, and the owner may have
                # returned their tasks for another pool by now. Claimed as well, they
                # would be queued here and could run twice.
                self._on_reachable(self._pool, frozenset(self._tasks_sent_early))
                self._tasks_sent_early.clear()
        elif pool_state.incarnation != self._owned.owner.incarnation:
            self._mark_unreachable("another process runs there", OwnerState.GONE)
        elif self._owner_state is not OwnerState.EXPECTED:
            self._mark_unreachable("not the owner", OwnerState.GONE)

    def _set_owner_state(self, owner_state: OwnerState) -> None:
        if owner_state is not self._owner_state:
            self._owner_state = owner_state
            self._on_change()

    def _mark_unreachable(self, reason: str, new: OwnerState) -> None:
        if self._owner_state is not OwnerState.EXPECTED or new is OwnerState.GONE:
            self._set_owner_state(new)
        if self._pool_state is not None:
            self._pool_state = None
            self._events.link_down(self._pool, self._owned.owner.host, reason)


def _tasks_of(request: RunTasks) -> Iterator[TaskName]:
    for index in request.indices:
        yield TaskName(request.batch, request.step, index)


__all__ = ["PoolLink"]
