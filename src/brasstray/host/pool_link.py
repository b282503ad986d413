"""Maintain a connection to the owner of one pool."""

from __future__ import annotations

from datetime import timedelta
from functools import partial
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
from brasstray.peer.message.tasks_ended import TasksEnded
from brasstray.peer.message.tasks_returned import TasksReturned
from brasstray.peer.message_channel import MessageChannel
from brasstray.peer.message_stream import HostNotListeningError, StreamClosedError

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from brasstray.batch.ids import BatchId, PoolId
    from brasstray.clock.clock import Clock
    from brasstray.host.host_events import HostEvents
    from brasstray.host.identity import HostIdentity
    from brasstray.host.operator_state import OperatorState
    from brasstray.host.owner_record import OwnedPool
    from brasstray.host.timing import HostTiming
    from brasstray.peer.message_stream import StreamOpener
    from brasstray.peer.pool_messages import PoolMessage


_MILLISECOND = timedelta(milliseconds=1)
# Bursts that forward tasks recur within seconds; an open link avoids reconnecting.
IDLE_TIMEOUT = timedelta(seconds=3)
# How long a request waits for a link that cannot be opened, about the duration of a
# takeover.
QUEUED_REQUEST_TIMEOUT = timedelta(milliseconds=300)
# After a connection to an owner fails, other owners get its requests for this long.
UNREACHABLE_BACKOFF = timedelta(seconds=1)


class PoolLink:
    """Connect to an owner while the link is needed, and track whether it is reachable.

    The owner is reachable once it has reported that it owns the pool under the token in
    the store, or a higher one.

    If every host kept a link to every owner, the number of heartbeats would grow with
    the fleet. So a link stays open only if `keep_open` returns True. Any other link is
    opened with the first request, and closed when no request was sent for IDLE_TIMEOUT
    and `has_tasks` returns False.
    """

    def __init__(
        self,
        pool: PoolId,
        owned: OwnedPool,
        identity: HostIdentity,
        opener: StreamOpener,
        clock: Clock,
        uptime: Callable[[], timedelta],
        timing: HostTiming,
        events: HostEvents,
        operator_state: OperatorState,
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
        self._uptime = uptime
        self._timing = timing
        self._events = events
        self._operator_state = operator_state
        self._on_message = on_message
        self._on_reachable = on_reachable
        self._keep_open = keep_open
        self._has_tasks = has_tasks
        self._on_change = on_change
        self._wake = anyio.Event()
        self._queued: list[RunTasks] = []
        self._last_request_at = clock.monotonic()
        self._failed_at: timedelta | None = None
        self._channel: MessageChannel | None = None
        self._tasks_sent_early: set[TaskName] = set()
        self._closed_as_idle = False
        self._is_successor = True
        self._pool_state: PoolState | None = None
        self._scope = anyio.CancelScope()
        self._owner_state = OwnerState.EXPECTED
        self._learned_at = self._state_at = clock.monotonic()

    @property
    def pool_state(self) -> PoolState | None:
        """Return the last state that the owner sent, or None if it is unreachable."""
        return self._pool_state

    @property
    def state_age(self) -> timedelta:
        """Return how long ago the last state arrived."""
        return self._clock.monotonic() - self._state_at

    @property
    def owner_state(self) -> OwnerState:
        """Return what this link knows about the owner."""
        return self._owner_state

    @property
    def is_connectable(self) -> bool:
        """Return whether a request may be queued here until the link is open."""
        if self._pool_state is not None or self._owner_state is not OwnerState.EXPECTED:
            return False
        failed = self._failed_at
        now = self._clock.monotonic()
        return failed is None or now - failed >= UNREACHABLE_BACKOFF

    def owner_age(self, now: timedelta) -> timedelta:
        """Return how long ago this host learned of the owner."""
        return now - self._learned_at

    def send(self, message: PoolMessage) -> None:
        """Send `message`; without a link, queue a new request and drop the rest."""
        match message:
            case RunTasks():
                self._send_request(message)
            case StopTasks() if self._channel is None:
                # A request sent after its job has ended would start orphaned runs.
                self._queued = [r for r in self._queued if r.batch != message.batch]
            case StopTasks() if self._channel is not None:
                self._channel.withdraw(partial(_is_request_for, message.batch))
                self._channel.send(message)
            case _ if self._channel is not None:
                self._channel.send(message)

    def _send_request(self, request: RunTasks) -> None:
        self._last_request_at = self._clock.monotonic()
        self._wake.set()
        if self._pool_state is None:
            self._tasks_sent_early.update(_tasks_of(request))
        if self._channel is not None:
            self._channel.send(request)
        elif not request.claimed:
            self._queued.append(request)

    def request_connection(self) -> None:
        """Open the link, if it is closed."""
        self._wake.set()

    def stop(self) -> None:
        """Stop `run` and close the link; ignore messages that were not read yet."""
        if self._channel is not None:
            self._channel.close()
        self._scope.cancel()

    async def run(self) -> None:
        """Stay connected while the link is needed, until stopped."""
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
        except HostNotListeningError:
            self._mark_unreachable(
                "connection refused: no process listens", OwnerState.GONE
            )
            self._return_unsent()
            return
        except StreamClosedError:
            self._return_unsent()
            return
        self._is_successor = True
        channel = self._channel = MessageChannel(
            stream,
            self._timing.owner_silence_timeout,
            self._handle_message,
            self._handle_oversized,
        )
        reason = "stopped"
        channel.send(
            Hello(
                host=self._identity.host,
                incarnation=self._identity.incarnation,
                config_version=self._operator_state.config.version,
                evacuations=self._operator_state.evacuations.current,
                power=self._identity.power,
                sent_ms=self._uptime() // _MILLISECOND,
            )
        )
        requests = self.take_queued_requests()
        for request in requests:
            channel.send(request)
        self._tasks_sent_early = {
            task for request in requests for task in _tasks_of(request)
        }
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(self._ping, channel, group.cancel_scope)
                reason = await channel.run()
                group.cancel_scope.cancel()
        finally:
            self._channel = None
            if self._closed_as_idle:
                self._reset_after_idle()
            else:
                self._mark_unreachable(reason, OwnerState.LOST)

    def take_queued_requests(self) -> list[RunTasks]:
        """Return the requests queued for the link, and clear the queue."""
        requests, self._queued = self._queued, []
        return requests

    def _return_unsent(self) -> None:
        """Return queued requests to the coordinator, as their pool is unreachable.

        Otherwise a job would wait for a link that cannot be opened, for example to a
        data centre that is cut off, although nothing of it was sent. Requests stay
        queued for QUEUED_REQUEST_TIMEOUT first, because the owner may have just died
        and a successor may be about to take over.
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
        """Reset the state after the link was closed as idle."""
        self._closed_as_idle = False
        self._pool_state = None
        self._owner_state = OwnerState.EXPECTED
        self._wake = anyio.Event()

    async def _ping(self, channel: MessageChannel, scope: anyio.CancelScope) -> None:
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
            channel.send(
                Ping(
                    config_version=self._operator_state.config.version,
                    evacuations=self._operator_state.evacuations.current,
                    sent_ms=self._uptime() // _MILLISECOND,
                )
            )

    def _is_idle(self) -> bool:
        if self._keep_open(self._pool) or self._has_tasks(self._pool):
            return False
        return self._clock.monotonic() - self._last_request_at >= IDLE_TIMEOUT

    def _handle_message(self, message: PoolMessage) -> None:
        if isinstance(message, PoolState):
            self._update_state(message)
        elif isinstance(message, Successors) and self._channel is not None:
            self._is_successor = self._identity.host in message.hosts
            timing = self._timing
            self._channel.set_silence_timeout(
                timing.owner_silence_timeout
                if self._is_successor
                else timing.slow_owner_silence_timeout
            )
        self._on_message(self._pool, message)

    def _handle_oversized(self, message: PoolMessage) -> None:
        """Fail the tasks of a request that is too large to be sent."""
        self._events.message_oversized(self._owned.owner.host, type(message).__name__)
        if isinstance(message, RunTasks):
            failed = TasksEnded(
                batch=message.batch,
                step=message.step,
                done=(),
                failed=message.indices,
            )
            self._on_message(self._pool, failed)

    def _update_state(self, pool_state: PoolState) -> None:
        if pool_state.pool == self._pool and pool_state.token >= self._owned.token:
            was_up = self._pool_state is not None
            self._pool_state, self._state_at = pool_state, self._clock.monotonic()
            resigning = pool_state.resigning
            self._set_owner_state(OwnerState.RESIGNING if resigning else OwnerState.UP)
            if not was_up:
                self._events.owner_reached(self._pool, self._owned.owner.host)
                self._failed_at = None
                # The requests that opened the link were sent on it, and the owner may
                # have returned their tasks for another pool by now. If they were
                # claimed as well, the owner would queue them and they could run twice.
                self._on_reachable(self._pool, frozenset(self._tasks_sent_early))
                self._tasks_sent_early.clear()
        elif pool_state.incarnation != self._owned.owner.incarnation:
            self._mark_unreachable(
                "another incarnation runs at its address", OwnerState.GONE
            )
        elif self._owner_state is not OwnerState.EXPECTED:
            self._mark_unreachable("no longer the owner", OwnerState.GONE)

    def _set_owner_state(self, owner_state: OwnerState) -> None:
        if owner_state is not self._owner_state:
            self._owner_state = owner_state
            self._on_change()

    def _mark_unreachable(self, reason: str, new: OwnerState) -> None:
        if self._owner_state is not OwnerState.EXPECTED or new is OwnerState.GONE:
            self._set_owner_state(new)
        if self._pool_state is not None:
            self._pool_state = None
            self._events.owner_lost(self._pool, self._owned.owner.host, reason)


def _is_request_for(batch: BatchId, message: PoolMessage) -> bool:
    return isinstance(message, RunTasks) and message.batch == batch


def _tasks_of(request: RunTasks) -> Iterator[TaskName]:
    for index in request.indices:
        yield TaskName(request.batch, request.step, index)


__all__ = ["PoolLink"]
