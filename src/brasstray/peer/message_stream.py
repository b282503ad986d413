"""Define the interface to a message connection between two hosts."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from brasstray.peer.pool_messages import PoolMessage


class StreamClosedError(Exception):
    """The connection is closed, or could not be opened."""


class HostNotListeningError(StreamClosedError):
    """The host refused the connection: no process listens on the port."""


class MessageStream(Protocol):
    """Send and receive messages in order; every method may raise StreamClosedError."""

    async def send(self, messages: list[PoolMessage]) -> list[PoolMessage]:
        """Send `messages`; return those that are too large to be sent.

        Wait while the receiver applies back-pressure.
        """

    async def receive(self) -> list[PoolMessage]:
        """Wait for the next messages and return them."""

    async def aclose(self) -> None:
        """Close the connection without a closing handshake."""


class StreamOpener(Protocol):
    """Open connections to other hosts."""

    async def open(self, address: str, port: int) -> MessageStream:
        """Connect; raise StreamClosedError on failure or timeout."""


__all__ = [
    "HostNotListeningError",
    "MessageStream",
    "StreamClosedError",
    "StreamOpener",
]
