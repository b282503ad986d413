"""Define a connection that carries messages between two hosts."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from brasstray.peer.pool_messages import PoolMessage


class StreamClosedError(Exception):
    """The connection has ended, or could not be opened."""


class NobodyListensError(StreamClosedError):
    """The host is there, but no process of ours runs on it."""


class MessageStream(Protocol):
    """Send and receive messages in order; every method may raise StreamClosedError."""

    async def send(self, messages: list[PoolMessage]) -> None:
        """Send `messages`; wait while the other side does not read."""

    async def receive(self) -> list[PoolMessage]:
        """Return the next messages."""

    async def aclose(self) -> None:
        """End the connection at once."""


class StreamOpener(Protocol):
    """Open connections to other hosts."""

    async def open(self, address: str, port: int) -> MessageStream:
        """Return a connection; raise StreamClosedError if there is none in time."""


__all__ = ["MessageStream", "NobodyListensError", "StreamClosedError", "StreamOpener"]
