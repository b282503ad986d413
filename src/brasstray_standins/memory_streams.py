"""Connect hosts by in-memory message streams that can be partitioned."""

from __future__ import annotations

import math
from datetime import timedelta
from typing import TYPE_CHECKING

import anyio

from brasstray.peer.message_stream import HostNotListeningError, StreamClosedError
from brasstray.peer.pool_messages import decode_frame, encode_frames
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
    """Track listening hosts, open streams and network partitions.

    A stream that a partition has cut stays silent after the partition has healed; new
    streams work. `open_delay` is how long a stream takes to open. `rate` returns the
    bandwidth of a host's link in bytes per second each way, or None for no limit.
    `sent` counts all messages.
    """

    def __init__(
        self, clock: Clock, rate: Callable[[str], float | None] = lambda _: None
    ) -> None:
        self._clock = clock
        self._rate = rate
        self._links: dict[tuple[str, bool], RateLimitedLink] = {}
        self.listeners: dict[str, PoolHost] = {}
        self.partitions: dict[str, int] = {}
        self.streams: list[MemoryStream] = []
        self.open_delay = ONE_WAY_DELAY
        self.sent = 0

    def cut(self, partitions: dict[str, int]) -> None:
        """Partition the network: only hosts with equal numbers can connect."""
        self.partitions = partitions
        for stream in self.streams:
            if not self.connected(stream.local_host, stream.remote_host):
                stream.silent = True

    def link_from(self, host: str) -> RateLimitedLink:
        """Return the link over which `host` sends."""
        return self._link(host, outbound=True)

    def link_to(self, host: str) -> RateLimitedLink:
        """Return the link over which `host` receives."""
        return self._link(host, outbound=False)

    def _link(self, host: str, *, outbound: bool) -> RateLimitedLink:
        key = host, outbound
        if key not in self._links:
            self._links[key] = RateLimitedLink(self._clock, self._rate(host))
        return self._links[key]

    def connected(self, first: str, second: str) -> bool:
        """Return whether two hosts are in the same partition."""
        return self.partitions.get(first, 0) == self.partitions.get(second, 0)

    def reset(self, host: str) -> None:
        """Close every stream of `host`, as happens when its process ends."""
        for stream in list(self.streams):
            if host in (stream.local_host, stream.remote_host):
                stream.abort()


class MemoryStream:
    """Hold one end of a stream between two hosts."""

    def __init__(
        self,
        network: StreamNetwork,
        local_host: str,
        remote_host: str,
        clock: Clock,
        gate: Gate,
        sending: MemoryObjectSendStream[bytes],
        receiving: MemoryObjectReceiveStream[bytes],
    ) -> None:
        self.local_host = local_host
        self.remote_host = remote_host
        self.silent = False
        self._network = network
        self._clock = clock
        self._gate = gate
        self._sending = sending
        self._receiving = receiving
        network.streams.append(self)

    async def send(self, messages: list[PoolMessage]) -> list[PoolMessage]:
        """Send `messages`; they are lost if a partition separates the hosts."""
        await self._gate.wait()
        self._network.sent += len(messages)
        if self.silent or not self._network.connected(
            self.local_host, self.remote_host
        ):
            return []
        frames, oversized = encode_frames(messages)
        try:
            for data in frames:
                await self._network.link_from(self.local_host).transmit(len(data))
                await self._sending.send(data)
        except (anyio.ClosedResourceError, anyio.BrokenResourceError) as error:
            raise StreamClosedError("closed") from error
        return oversized

    async def receive(self) -> list[PoolMessage]:
        """Return the next messages."""
        try:
            data = await self._receiving.receive()
        except (anyio.ClosedResourceError, anyio.EndOfStream) as error:
            raise StreamClosedError("closed") from error
        await self._clock.sleep(ONE_WAY_DELAY)
        await self._network.link_to(self.local_host).transmit(len(data))
        await self._gate.wait()
        return decode_frame(data)

    async def aclose(self) -> None:
        """Close the stream."""
        self.abort()

    def abort(self) -> None:
        """Close the stream immediately."""
        self._sending.close()
        self._receiving.close()
        if self in self._network.streams:
            self._network.streams.remove(self)


class MemoryStreamOpener:
    """Open streams from one host."""

    def __init__(
        self, network: StreamNetwork, local_host: str, clock: Clock, gate: Gate
    ) -> None:
        self._network = network
        self._local_host = local_host
        self._clock = clock
        self._gate = gate

    async def open(self, address: str, port: int) -> MemoryStream:
        """Return a new stream to the host called `address`."""
        del port
        await self._gate.wait()
        await self._clock.sleep(self._network.open_delay)
        host = self._network.listeners.get(address)
        if not self._network.connected(self._local_host, address):
            await self._clock.sleep(OPEN_TIMEOUT)
            raise StreamClosedError("the connection timed out")
        if host is None:
            raise HostNotListeningError("refused")
        to_remote, from_local = anyio.create_memory_object_stream[bytes](math.inf)
        to_local, from_remote = anyio.create_memory_object_stream[bytes](math.inf)
        local = MemoryStream(
            self._network,
            self._local_host,
            address,
            self._clock,
            self._gate,
            to_remote,
            from_remote,
        )
        remote = MemoryStream(
            self._network,
            address,
            self._local_host,
            self._clock,
            host.gate,  # type: ignore[attr-defined]
            to_local,
            from_local,
        )
        host.accept(remote)  # type: ignore[attr-defined]
        return local


__all__ = ["MemoryStream", "MemoryStreamOpener", "StreamNetwork"]
