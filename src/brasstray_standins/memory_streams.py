"""Carry messages between hosts in memory, over a network that can be cut."""

from __future__ import annotations

import math
from datetime import timedelta
from typing import TYPE_CHECKING

import anyio

from brasstray.peer.message_stream import NobodyListensError, StreamClosedError
from brasstray.peer.pool_messages import decode_frame, encode_frame
from brasstray_standins.rate_limited_link import RateLimitedLink

if TYPE_CHECKING:
    from collections.abc import Callable

    from anyio.streams.memory import MemoryObjectReceiveStream, MemoryObjectSendStream

    from brasstray.clock.clock import Clock
    from brasstray.host.pool_host import PoolHost
    from brasstray.peer.pool_messages import PoolMessage
    from brasstray_standins.gate import Gate

ONE_WAY_DELAY = timedelta(milliseconds=1.5)
OPEN_TIMEOUT = timedelta(milliseconds=400)


class StreamNetwork:
    """Know where hosts listen and which of them are cut off from one another.

    A connection that was cut stays silent after the cut has healed; new ones work.
    `opening` is how long a connection takes to open. `rate` tells how many bytes a
    second the link of a machine carries each way; None for any number at once.
    """

    def __init__(
        self, clock: Clock, rate: Callable[[str], float | None] = lambda _: None
    ) -> None:
        self._clock = clock
        self._rate = rate
        self._links: dict[tuple[str, bool], RateLimitedLink] = {}
        self.listening: dict[str, PoolHost] = {}
        self.groups: dict[str, int] = {}
        self.streams: list[MemoryStream] = []
        self.opening = ONE_WAY_DELAY
        self.sent = 0

    def cut(self, groups: dict[str, int]) -> None:
        """Let only hosts of the same number in `groups` reach one another."""
        self.groups = groups
        for stream in self.streams:
            if not self.connected(stream.here, stream.there):
                stream.silent = True

    def link_from(self, host: str) -> RateLimitedLink:
        """Return what carries the bytes that `host` sends."""
        return self._link(host, outbound=True)

    def link_to(self, host: str) -> RateLimitedLink:
        """Return what carries the bytes that `host` receives."""
        return self._link(host, outbound=False)

    def _link(self, host: str, *, outbound: bool) -> RateLimitedLink:
        key = host, outbound
        if key not in self._links:
            self._links[key] = RateLimitedLink(self._clock, self._rate(host))
        return self._links[key]

    def connected(self, first: str, second: str) -> bool:
        """Tell whether two hosts reach one another."""
        return self.groups.get(first, 0) == self.groups.get(second, 0)

    def reset(self, host: str) -> None:
        """End every connection of `host`, as the end of its process does."""
        for stream in list(self.streams):
            if host in (stream.here, stream.there):
                stream.break_off()


class MemoryStream:
    """Hold one end of a connection."""

    def __init__(
        self,
        network: StreamNetwork,
        here: str,
        there: str,
        clock: Clock,
        gate: Gate,
        sending: MemoryObjectSendStream[bytes],
        receiving: MemoryObjectReceiveStream[bytes],
    ) -> None:
        self.here = here
        self.there = there
        self.silent = False
        self._network = network
        self._clock = clock
        self._gate = gate
        self._sending = sending
        self._receiving = receiving
        network.streams.append(self)

    async def send(self, messages: list[PoolMessage]) -> None:
        """Send `messages`; they are lost if the hosts are cut off."""
        await self._gate.wait()
        self._network.sent += len(messages)
        if self.silent or not self._network.connected(self.here, self.there):
            return
        data = encode_frame(messages)
        await self._network.link_from(self.here).transmit(len(data))
        try:
            await self._sending.send(data)
        except (anyio.ClosedResourceError, anyio.BrokenResourceError) as error:
            raise StreamClosedError("closed") from error

    async def receive(self) -> list[PoolMessage]:
        """Return the next messages."""
        try:
            data = await self._receiving.receive()
        except (anyio.ClosedResourceError, anyio.EndOfStream) as error:
            raise StreamClosedError("closed") from error
        await self._clock.sleep(ONE_WAY_DELAY)
        await self._network.link_to(self.here).transmit(len(data))
        await self._gate.wait()
        return decode_frame(data)

    async def aclose(self) -> None:
        """End the connection."""
        self.break_off()

    def break_off(self) -> None:
        """End the connection at once."""
        self._sending.close()
        self._receiving.close()
        if self in self._network.streams:
            self._network.streams.remove(self)


class MemoryStreamOpener:
    """Open connections from one host."""

    def __init__(
        self, network: StreamNetwork, here: str, clock: Clock, gate: Gate
    ) -> None:
        self._network = network
        self._here = here
        self._clock = clock
        self._gate = gate

    async def open(self, address: str, port: int) -> MemoryStream:
        """Return a connection to the host called `address`."""
        del port
        await self._gate.wait()
        await self._clock.sleep(self._network.opening)
        host = self._network.listening.get(address)
        if not self._network.connected(self._here, address):
            await self._clock.sleep(OPEN_TIMEOUT)
            raise StreamClosedError("no answer")
        if host is None:
            raise NobodyListensError("refused")
        to_remote, from_local = anyio.create_memory_object_stream[bytes](math.inf)
        to_local, from_remote = anyio.create_memory_object_stream[bytes](math.inf)
        local = MemoryStream(
            self._network,
            self._here,
            address,
            self._clock,
            self._gate,
            to_remote,
            from_remote,
        )
        remote = MemoryStream(
            self._network,
            address,
            self._here,
            self._clock,
            host.gate,  # type: ignore[attr-defined]
            to_local,
            from_local,
        )
        host.accept(remote)  # type: ignore[attr-defined]
        return local


__all__ = ["MemoryStream", "MemoryStreamOpener", "StreamNetwork"]
