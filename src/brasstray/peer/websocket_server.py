"""Serve calls from other entry hosts over websockets."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
from websockets.asyncio.server import ServerConnection, serve
from websockets.exceptions import ConnectionClosed

from brasstray.peer.envelope import Envelope, EnvelopeKind
from brasstray.peer.link import MAX_MESSAGE_BYTES

if TYPE_CHECKING:
    import socket

    from brasstray.job.ids import IncarnationId
    from brasstray.peer.handler import Handler


class WebSocketServer:
    """Run one asynchronous task per connection, and one per call on it."""

    def __init__(self, incarnation: IncarnationId, handler: Handler) -> None:
        self._incarnation = incarnation
        self._handler = handler

    async def run(self, listener: socket.socket) -> None:
        """Serve on `listener` until cancelled."""
        async with serve(
            self._handle_connection,
            sock=listener,
            max_size=MAX_MESSAGE_BYTES,
            compression=None,
        ):
            await anyio.sleep_forever()

    async def _handle_connection(self, connection: ServerConnection) -> None:
        try:
            async with anyio.create_task_group() as group:
                async for data in connection:
                    envelope = Envelope.decode(data)  # type: ignore[arg-type]
                    group.start_soon(self._handle_call, connection, envelope)
                group.cancel_scope.cancel()
        except* (ConnectionClosed, ValueError):
            pass

    async def _handle_call(self, connection: ServerConnection, call: Envelope) -> None:
        # A message for an earlier incarnation of this host must not be handled: the
        # jobs and journal copies of that incarnation are gone. The sender learns that
        # its message had no effect.
        if call.receiver not in (None, self._incarnation) or call.message is None:
            kind, reply = EnvelopeKind.REFUSED_UNREAD, None
        else:
            kind = EnvelopeKind.REPLY
            reply = await self._handler.handle(call.sender, call.message)
        envelope = Envelope(
            kind=kind, number=call.number, sender=self._incarnation, message=reply
        )
        try:
            await connection.send(envelope.encode())
        except ConnectionClosed:
            return


__all__ = ["WebSocketServer"]
