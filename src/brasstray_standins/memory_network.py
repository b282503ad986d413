"""Exchange messages between entry hosts in memory, with partitions and pauses."""

from __future__ import annotations

from collections import Counter
from datetime import timedelta
from typing import TYPE_CHECKING

import anyio

from brasstray.peer.envelope import Envelope, EnvelopeKind
from brasstray.peer.errors import PeerNotReachedError, PeerReplyLostError

if TYPE_CHECKING:
    from anyio.abc import TaskGroup

    from brasstray.clock.clock import Clock
    from brasstray.entry.entry_host import EntryHost
    from brasstray.job.ids import HostName, IncarnationId
    from brasstray.peer.messages import Message
    from brasstray_standins.gate import Gate


class MemoryNetwork:
    """Connect the running entry hosts, except those that are partitioned."""

    def __init__(self, clock: Clock, delay: timedelta = timedelta(milliseconds=1)):
        self._clock = clock
        self._delay = delay
        self._hosts: dict[HostName, tuple[EntryHost, TaskGroup, Gate]] = {}
        self._cut: set[frozenset[HostName]] = set()
        self._calls: Counter[str] = Counter()
        self._bytes: Counter[str] = Counter()
        self.lose_replies = 0

    @property
    def calls(self) -> Counter[str]:
        """Return the number of calls, by kind of message."""
        return Counter(self._calls)

    @property
    def bytes(self) -> Counter[str]:
        """Return the bytes of calls and their replies, by kind of the call."""
        return Counter(self._bytes)

    def add(self, host: EntryHost, group: TaskGroup, gate: Gate) -> None:
        """Make `host` reachable; its handlers run in `group` and end with it."""
        self._hosts[host.config.host] = (host, group, gate)

    def remove(self, host: HostName) -> None:
        """Make `host` unreachable."""
        self._hosts.pop(host, None)

    def cut(self, first: HostName, second: HostName) -> None:
        """Cut the connection between two hosts in both directions."""
        self._cut.add(frozenset((first, second)))

    def heal(self) -> None:
        """Restore all connections."""
        self._cut.clear()

    def peers_of(self, sender: IncarnationId, host: HostName) -> MemoryPeers:
        """Return the client by which `host` calls its peers."""
        return MemoryPeers(self, sender, host)

    async def deliver(
        self, source: HostName, target: HostName, call: Envelope, timeout: timedelta
    ) -> Envelope:
        """Deliver `call` and return the reply, both as decoded from encoded bytes."""
        assert call.message is not None
        kind = call.message.kind
        self._calls[kind] += 1
        await self._clock.sleep(self._delay)
        if target not in self._hosts or self._is_cut(source, target):
            raise PeerNotReachedError(f"{target} cannot be reached")
        host, group, gate = self._hosts[target]
        data = call.encode()
        self._bytes[kind] += len(data)
        arrived = Envelope.decode(data)
        if arrived.receiver not in (None, host.config.incarnation):
            raise PeerNotReachedError(f"incarnation {arrived.receiver} is not running")
        pending_call = _PendingCall(arrived)
        group.start_soon(pending_call.run, host, gate)
        with anyio.move_on_after(timeout.total_seconds()):
            await pending_call.finished.wait()
            await self._clock.sleep(self._delay)
        if pending_call.reply is None or self._is_cut(source, target):
            raise PeerReplyLostError(f"no reply from {target}")
        if self.lose_replies > 0:
            self.lose_replies -= 1
            raise PeerReplyLostError("the reply was lost")
        data = pending_call.reply.encode()
        self._bytes[kind] += len(data)
        return Envelope.decode(data)

    def _is_cut(self, first: HostName, second: HostName) -> bool:
        return frozenset((first, second)) in self._cut


class _PendingCall:
    def __init__(self, call: Envelope) -> None:
        self._call = call
        self.reply: Envelope | None = None
        self.finished = anyio.Event()

    async def run(self, host: EntryHost, gate: Gate) -> None:
        assert self._call.message is not None
        try:
            await gate.wait()
            reply = await host.handle(self._call.sender, self._call.message)
            self.reply = Envelope(
                kind=EnvelopeKind.REPLY,
                number=self._call.number,
                sender=host.config.incarnation,
                message=reply,
            )
            await gate.wait()
        finally:
            self.finished.set()


class MemoryPeers:
    """Call entry hosts over an in-memory network."""

    def __init__(
        self, network: MemoryNetwork, sender: IncarnationId, host: HostName
    ) -> None:
        self._network = network
        self._sender = sender
        self._host = host

    async def call(
        self,
        host: HostName,
        receiver: IncarnationId | None,
        message: Message,
        timeout: timedelta,
    ) -> Message:
        """Return the reply of the peer on `host`."""
        call = Envelope(
            kind=EnvelopeKind.CALL,
            number=0,
            sender=self._sender,
            receiver=receiver,
            message=message,
        )
        reply = await self._network.deliver(self._host, host, call, timeout)
        assert reply.message is not None
        return reply.message


__all__ = ["MemoryNetwork", "MemoryPeers"]
