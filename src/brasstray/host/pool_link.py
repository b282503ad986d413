"""Keep a connection to the owner of one pool."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from brasstray.host.owner_reach import OwnerReach
from brasstray.peer.message.hello import Hello
from brasstray.peer.message.ping import Ping
from brasstray.peer.message.pool_state import PoolState
from brasstray.peer.message_stream import NobodyListensError, StreamClosedError
from brasstray.peer.pipe import Pipe

if TYPE_CHECKING:
    from collections.abc import Callable
    from datetime import timedelta

    from brasstray.batch.ids import ConfigVersion, PoolId
    from brasstray.clock.clock import Clock
    from brasstray.host.host_events import HostEvents
    from brasstray.host.identity import HostIdentity
    from brasstray.host.owner_record import OwnedPool
    from brasstray.host.timing import HostTiming
    from brasstray.peer.message_stream import StreamOpener
    from brasstray.peer.pool_messages import PoolMessage


class PoolLink:
    """Connect to an owner again and again, and tell whether it is in reach.

    The owner is in reach once it has said that it owns the pool under the token that
    the store shows, or a higher one.
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
        version: Callable[[], ConfigVersion],
        take: Callable[[PoolId, PoolMessage], None],
        up: Callable[[PoolId], None],
    ) -> None:
        self._pool = pool
        self._owned = owned
        self._identity = identity
        self._opener = opener
        self._clock = clock
        self._timing = timing
        self._events = events
        self._version = version
        self._take_message = take
        self._up = up
        self._pipe: Pipe | None = None
        self._state: PoolState | None = None
        self._scope = anyio.CancelScope()
        self._reach = OwnerReach.EXPECTED
        self._learned_at = clock.monotonic()

    @property
    def state(self) -> PoolState | None:
        """Return what the owner last said, while it is in reach."""
        return self._state

    @property
    def reach(self) -> OwnerReach:
        """Return what the link shows of the owner."""
        return self._reach

    def known_for(self, now: timedelta) -> timedelta:
        """Return for how long the owner has been known as such."""
        return now - self._learned_at

    def tell(self, message: PoolMessage) -> None:
        """Send `message`, if the owner is in reach."""
        if self._pipe is not None:
            self._pipe.tell(message)

    def stop(self) -> None:
        """End `run`."""
        self._scope.cancel()

    async def run(self) -> None:
        """Stay connected until stopped."""
        with self._scope:
            while True:
                await self._connect_once()
                await self._clock.sleep(self._timing.reconnect)

    async def _connect_once(self) -> None:
        owner = self._owned.owner
        try:
            stream = await self._opener.open(owner.address, owner.port)
        except NobodyListensError:
            self._lose("nobody listens", OwnerReach.GONE)
            return
        except StreamClosedError:
            return
        pipe = self._pipe = Pipe(stream, self._timing.owner_silence, self._take)
        reason = "stopped"
        pipe.tell(
            Hello(
                host=self._identity.host,
                incarnation=self._identity.incarnation,
                config_version=self._version(),
            )
        )
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(self._ping, pipe)
                reason = await pipe.run()
                group.cancel_scope.cancel()
        finally:
            self._pipe = None
            self._lose(reason, OwnerReach.LOST)

    async def _ping(self, pipe: Pipe) -> None:
        while True:
            await self._clock.sleep(self._timing.ping)
            pipe.tell(Ping(config_version=self._version()))

    def _take(self, message: PoolMessage) -> None:
        if isinstance(message, PoolState):
            self._see(message)
        self._take_message(self._pool, message)

    def _see(self, state: PoolState) -> None:
        if state.pool == self._pool and state.token >= self._owned.token:
            was_up = self._state is not None
            self._state = state
            resigns = state.resigning
            self._reach = OwnerReach.RESIGNING if resigns else OwnerReach.UP
            if not was_up:
                self._events.link_up(self._pool, self._owned.owner.host)
                self._up(self._pool)
        elif state.incarnation != self._owned.owner.incarnation:
            self._lose("another process runs there", OwnerReach.GONE)
        elif self._reach is not OwnerReach.EXPECTED:
            self._lose("not the owner", OwnerReach.GONE)

    def _lose(self, reason: str, reach: OwnerReach) -> None:
        if self._reach is not OwnerReach.EXPECTED or reach is OwnerReach.GONE:
            self._reach = reach
        if self._state is not None:
            self._state = None
            self._events.link_down(self._pool, self._owned.owner.host, reason)


__all__ = ["PoolLink"]
