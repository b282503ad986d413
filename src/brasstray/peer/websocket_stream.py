"""Implement message streams over websockets."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
from websockets.asyncio.client import connect
from websockets.asyncio.server import ServerConnection, serve
from websockets.exceptions import ConnectionClosed

from brasstray.peer.errors import UnreadableMessageError
from brasstray.peer.message_stream import HostNotListeningError, StreamClosedError
from brasstray.peer.pool_messages import (
    MAX_FRAME_BYTES,
    decode_frame,
    encode_frames,
)

if TYPE_CHECKING:
    import socket
    from collections.abc import Awaitable, Callable

    from websockets.asyncio.connection import Connection

    from brasstray.peer.pool_messages import PoolMessage

# A connection within a region opens in a few milliseconds. An attempt across a network
# partition would hang; after this timeout, another host is tried.
OPEN_TIMEOUT_SECONDS = 0.4


class WebSocketStream:
    """Send messages in frames; users detect a silent peer by their own heartbeats."""

    def __init__(self, connection: Connection) -> None:
        self._connection = connection

    async def send(self, messages: list[PoolMessage]) -> list[PoolMessage]:
        """Send `messages`; return those that are too large to be sent."""
        frames, oversized = encode_frames(messages)
        try:
            for frame in frames:
                await self._connection.send(frame)
        except ConnectionClosed as error:
            raise StreamClosedError(str(error)) from error
        return oversized

    async def receive(self) -> list[PoolMessage]:
        """Wait for the next frame and return its messages."""
        try:
            data = await self._connection.recv(decode=False)
            return decode_frame(data)
        except (ConnectionClosed, UnreadableMessageError) as error:
            raise StreamClosedError(str(error)) from error

    async def aclose(self) -> None:
        """Abort the connection: a closing handshake with a silent peer takes time."""
        # A transport that has flushed its buffer after its close can't be aborted.
        if not self._connection.connection_lost_waiter.done():
            self._connection.transport.abort()


class WebSocketOpener:
    """Open websocket connections to other hosts."""

    async def open(self, address: str, port: int) -> WebSocketStream:
        """Connect to the host that listens at `address` and `port`."""
        try:
            connection = await connect(
                f"ws://{address}:{port}",
                open_timeout=OPEN_TIMEOUT_SECONDS,
                ping_interval=None,
                max_size=MAX_FRAME_BYTES,
                compression=None,
                proxy=None,
            )
        except ConnectionRefusedError as error:
            raise HostNotListeningError(repr(error)) from error
        except Exception as error:  # noqa: BLE001 - any error of one connection
            raise StreamClosedError(repr(error)) from error
        return WebSocketStream(connection)


async def serve_streams(
    listener: socket.socket, handle_stream: Callable[[WebSocketStream], Awaitable[None]]
) -> None:
    """Call `handle_stream` with each incoming connection, until cancelled."""

    async def handle_connection(connection: ServerConnection) -> None:
        await handle_stream(WebSocketStream(connection))

    async with serve(
        handle_connection,
        sock=listener,
        ping_interval=None,
        max_size=MAX_FRAME_BYTES,
        compression=None,
    ):
        await anyio.sleep_forever()


__all__ = ["WebSocketOpener", "WebSocketStream", "serve_streams"]
