"""Serve a connection on which another host requests tasks."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

import anyio
from msgspec.structs import replace

from brasstray.job.incarnation import data_centre_of
from brasstray.peer.message_channel import MessageChannel

if TYPE_CHECKING:
    from collections.abc import Callable

    from brasstray.clock.clock import Clock
    from brasstray.host.host_events import HostEvents
    from brasstray.host.timing import HostTiming
    from brasstray.job.ids import DataCentreName
    from brasstray.peer.message.hello import Hello
    from brasstray.peer.message.ping import Ping
    from brasstray.peer.message.pool_state import PoolState
    from brasstray.peer.message_stream import MessageStream
    from brasstray.peer.pool_messages import PoolMessage

_MILLISECOND = timedelta(milliseconds=1)


class RequesterLink:
    """Receive the requests of one host, and send it task results and pool states."""

    def __init__(
        self,
        stream: MessageStream,
        clock: Clock,
        timing: HostTiming,
        state: Callable[[], PoolState],
        on_message: Callable[[RequesterLink, PoolMessage], None],
        events: HostEvents,
    ) -> None:
        self._clock = clock
        self._timing = timing
        self._state = state
        self._on_message = on_message
        self._events = events
        self._channel = MessageChannel(
            stream,
            timing.pool.requester_silence,
            self._handle_message,
            self._handle_oversized,
        )
        self._name = "unknown"
        self._data_centre: DataCentreName | None = None
        self._power = 0.0
        self._state_interval = timing.heartbeat_interval
        self._last_contact = clock.monotonic()
        self._heartbeat_ms: int | None = None
        self._heartbeat_at = clock.monotonic()

    @property
    def name(self) -> str:
        """Return the name of the host, or "unknown" before its hello."""
        return self._name

    @property
    def data_centre(self) -> DataCentreName | None:
        """Return the data centre of the host, or None before its hello."""
        return self._data_centre

    @property
    def power(self) -> float:
        """Return the power of the host, or 0 before its hello."""
        return self._power

    @property
    def last_contact(self) -> timedelta:
        """Return the monotonic time at which the host was last heard from."""
        return self._last_contact

    @property
    def reconnect_time(self) -> timedelta:
        """Return how long the runs of the host continue after the link has closed.

        The host may reconnect and claim them, as if it had only been silent.
        """
        timing = self._timing.pool
        silent = self._clock.monotonic() - self._last_contact
        left = timing.orphan_lifetime - timing.stop_lead - silent
        return max(timedelta(0), min(timing.requester_silence, left))

    def record_hello(self, hello: Hello) -> None:
        """Record the identity of the host at the other end."""
        self._record_heartbeat(hello.sent_ms)
        self._name = str(hello.host)
        self._power = hello.power
        self._data_centre = data_centre_of(hello.incarnation)

    def record_ping(self, ping: Ping) -> None:
        """Record a heartbeat, which the next state sent to the host acknowledges."""
        self._record_heartbeat(ping.sent_ms)

    def _record_heartbeat(self, sent_ms: int | None) -> None:
        self._heartbeat_ms = sent_ms
        self._heartbeat_at = self._clock.monotonic()

    def set_heartbeat_rate(self, frequent: bool) -> None:
        """Set whether heartbeats go out at the normal or at the slow interval."""
        self._state_interval = (
            self._timing.heartbeat_interval
            if frequent
            else self._timing.slow_heartbeat_interval
        )

    def send(self, message: PoolMessage) -> None:
        """Send `message`, or drop it if the host is unreachable."""
        self._channel.send(message)

    def send_deferred(self, message: PoolMessage) -> None:
        """Send `message` along with the next one, or else with the next heartbeat."""
        self._channel.send_deferred(message)

    def send_state(self) -> None:
        """Send which pool this host owns, and its load; this is the heartbeat."""
        heartbeat_age = self._clock.monotonic() - self._heartbeat_at
        state = replace(
            self._state(),
            acknowledged_ms=self._heartbeat_ms,
            acknowledged_age_ms=heartbeat_age // _MILLISECOND,
        )
        self._channel.send(state)

    def close(self) -> None:
        """Close the connection; messages that were not read yet are ignored."""
        self._channel.close()

    def _handle_message(self, message: PoolMessage) -> None:
        self._last_contact = self._clock.monotonic()
        self._on_message(self, message)

    def _handle_oversized(self, message: PoolMessage) -> None:
        self._events.message_oversized(self._name, type(message).__name__)

    async def run(self) -> str:
        """Serve until the connection ends; return the reason."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._send_states)
            reason = await self._channel.run()
            group.cancel_scope.cancel()
        return reason

    async def _send_states(self) -> None:
        while True:
            self.send_state()
            await self._clock.sleep(self._state_interval)


__all__ = ["RequesterLink"]
