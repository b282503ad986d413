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
IDLE_TIME = timedelta(seconds=3)
# How long a request waits for a link that cannot be opened, about a takeover.
EARLY_TIMEOUT = timedelta(milliseconds=300)
# After it could not be reached, an owner is not asked for this long while others are.
AVOIDED_TIME = timedelta(seconds=1)


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
        take: Callable[[PoolId, PoolMessage], None],
        up: Callable[[PoolId, frozenset[TaskName]], None],
        keep: Callable[[PoolId], bool],
        busy: Callable[[PoolId], bool],
        changed: Callable[[], None],
    ) -> None:
        self._pool = pool
        self._owned = owned
        self._identity = identity
        self._opener = opener
        self._clock = clock
        self._timing = timing
        self._events = events
        self._knowledge = knowledge
        self._take_message = take
        self._up = up
        self._keep = keep
        self._busy = busy
        self._changed = changed
        self._wanted = anyio.Event()
        self._early: list[RunTasks] = []
        self._asked_at = clock.monotonic()
        self._failed_at: timedelta | None = None
        self._pipe: Pipe | None = None
        self._sent_early: set[TaskName] = set()
        self._idle = False
        self._named = True
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
    def may_be_asked(self) -> bool:
        """Return whether a request may wait here for the link, as far as is known."""
        if self._pool_state is not None or self._owner_state is not OwnerState.EXPECTED:
            return False
        failed = self._failed_at
        now = self._clock.monotonic()
        return failed is None or now - failed >= AVOIDED_TIME

    def owner_age(self, now: timedelta) -> timedelta:
        """Return for how long the owner has been known as such."""
        return now - self._learned_at

    def tell(self, message: PoolMessage) -> None:
        """Send `message`; a request opens the link, anything else is dropped then."""
        match message:
            case RunTasks():
                self._ask(message)
            case StopTasks() if self._pipe is None:
                # A request sent after its job has ended would start orphaned runs.
                self._early = [r for r in self._early if r.batch != message.batch]
            case _ if self._pipe is not None:
                self._pipe.tell(message)

    def _ask(self, request: RunTasks) -> None:
        self._asked_at = self._clock.monotonic()
        self._wanted.set()
        if self._pool_state is None:
            self._sent_early.update(_tasks_of(request))
        if self._pipe is not None:
            self._pipe.tell(request)
        elif not request.claimed:
            self._early.append(request)

    def want(self) -> None:
        """Open the link now."""
        self._wanted.set()

    def stop(self) -> None:
        """End `run`."""
        self._scope.cancel()

    async def run(self) -> None:
        """Stay connected while the owner is wanted, until stopped."""
        with self._scope:
            while True:
                if not (self._keep(self._pool) or self._busy(self._pool)):
                    await self._wanted.wait()
                self._wanted.set()
                await self._connect_once()
                await self._clock.sleep(self._timing.reconnect)

    async def _connect_once(self) -> None:
        owner = self._owned.owner
        try:
            stream = await self._opener.open(owner.address, owner.port)
        except NobodyListensError:
            self._lose("nobody listens", OwnerState.GONE)
            self._return_unsent()
            return
        except StreamClosedError:
            self._return_unsent()
            return
        self._named = True
        pipe = self._pipe = Pipe(stream, self._timing.owner_silence, self._take)
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
        early = self.take_early()
        for request in early:
            pipe.tell(request)
        self._sent_early = {task for request in early for task in _tasks_of(request)}
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(self._ping, pipe, group.cancel_scope)
                reason = await pipe.run()
                group.cancel_scope.cancel()
        finally:
            self._pipe = None
            if self._idle:
                self._rest()
            else:
                self._lose(reason, OwnerState.LOST)

    def take_early(self) -> list[RunTasks]:
        """Return the requests that wait for the link, and forget them."""
        early, self._early = self._early, []
        return early

    def _return_unsent(self) -> None:
        """Return requests that never left this host, as their pool is unreachable.

        Guards against a job that waits for a link that cannot be opened, as to a data
        centre beyond a cut: it is known that nothing of it was sent. Before that, the
        owner may be one that has just died, and a successor about to take over.
        """
        self._failed_at = self._clock.monotonic()
        if self._early and self._failed_at - self._asked_at < EARLY_TIMEOUT:
            return
        for request in self.take_early():
            returned = TasksReturned(
                batch=request.batch,
                step=request.step,
                indices=request.indices,
                begun=request.begun,
            )
            self._take_message(self._pool, returned)
        if not self._keep(self._pool):
            self._wanted = anyio.Event()

    def _rest(self) -> None:
        """Record that the link is closed since nobody needs it."""
        self._idle = False
        self._pool_state = None
        self._owner_state = OwnerState.EXPECTED
        self._wanted = anyio.Event()

    async def _ping(self, pipe: Pipe, scope: anyio.CancelScope) -> None:
        while True:
            often = self._named or self._busy(self._pool)
            timing = self._timing
            await self._clock.sleep(timing.ping if often else timing.slow_ping)
            if self._is_idle():
                self._idle = True
                scope.cancel()
            pipe.tell(
                Ping(
                    config_version=self._knowledge.config.version,
                    evacuations=self._knowledge.evacuations.current,
                )
            )

    def _is_idle(self) -> bool:
        if self._keep(self._pool) or self._busy(self._pool):
            return False
        return self._clock.monotonic() - self._asked_at >= IDLE_TIME

    def _take(self, message: PoolMessage) -> None:
        if isinstance(message, PoolState):
            self._see(message)
        elif isinstance(message, Successors) and self._pipe is not None:
            self._named = self._identity.host in message.hosts
            timing = self._timing
            self._pipe.allow_silence(
                timing.owner_silence if self._named else timing.slow_owner_silence
            )
        self._take_message(self._pool, message)

    def _see(self, pool_state: PoolState) -> None:
        if pool_state.pool == self._pool and pool_state.token >= self._owned.token:
            was_up = self._pool_state is not None
            self._pool_state = pool_state
            resigns = pool_state.resigning
            self._set_owner_state(OwnerState.RESIGNING if resigns else OwnerState.UP)
            if not was_up:
                self._events.link_up(self._pool, self._owned.owner.host)
                self._failed_at = None
                # Requests that opened the link were sent on it, and the owner may have
                # returned their tasks for another pool by now. Claimed as well, they
                # would be queued here and could run twice.
                self._up(self._pool, frozenset(self._sent_early))
                self._sent_early.clear()
        elif pool_state.incarnation != self._owned.owner.incarnation:
            self._lose("another process runs there", OwnerState.GONE)
        elif self._owner_state is not OwnerState.EXPECTED:
            self._lose("not the owner", OwnerState.GONE)

    def _set_owner_state(self, owner_state: OwnerState) -> None:
        if owner_state is not self._owner_state:
            self._owner_state = owner_state
            self._changed()

    def _lose(self, reason: str, new: OwnerState) -> None:
        if self._owner_state is not OwnerState.EXPECTED or new is OwnerState.GONE:
            self._set_owner_state(new)
        if self._pool_state is not None:
            self._pool_state = None
            self._events.link_down(self._pool, self._owned.owner.host, reason)


def _tasks_of(request: RunTasks) -> Iterator[TaskName]:
    for index in request.indices:
        yield TaskName(request.batch, request.step, index)


__all__ = ["PoolLink"]
