"""Manage the connection to one peer and match replies with calls."""

from __future__ import annotations

from itertools import count
from typing import TYPE_CHECKING

import anyio
from websockets.asyncio.client import ClientConnection, connect
from websockets.exceptions import ConnectionClosed, InvalidHandshake

from brasstray.peer.envelope import Envelope, EnvelopeKind
from brasstray.peer.errors import PeerNotReachedError, PeerReplyLostError

if TYPE_CHECKING:
    from datetime import timedelta

    from anyio.abc import TaskGroup

    from brasstray.job.ids import IncarnationId
    from brasstray.peer.messages import Message

CONNECT_TIMEOUT_SECONDS = 1.0
PING_INTERVAL_SECONDS = 2.0
PING_TIMEOUT_SECONDS = 2.0
MAX_MESSAGE_BYTES = 64 * 1024 * 1024


class _PendingCall:
    def __init__(self) -> None:
        self.completed = anyio.Event()
        self.reply: Envelope | None = None


class PeerLink:
    """Call one peer over a single connection, and reconnect after it is lost.

    Pings detect an unresponsive connection, which is closed within four seconds. Its
    pending calls raise PeerReplyLostError, and the next call opens a new connection.
    """

    def __init__(self, sender: IncarnationId, uri: str, group: TaskGroup) -> None:
        self._sender = sender
        self._uri = uri
        self._group = group
        self._call_numbers = count()
        self._connection: ClientConnection | None = None
        self._connect_lock = anyio.Lock()
        self._pending_calls: dict[int, _PendingCall] = {}

    @property
    def uri(self) -> str:
        """Return the websocket URI of the peer."""
        return self._uri

    async def call(
        self, receiver: IncarnationId | None, message: Message, timeout: timedelta
    ) -> Message:
        """Send `message` and return the reply.

        Raise PeerNotReachedError or PeerReplyLostError, as defined by `Peers.call`.
        """
        connection = await self._connect()
        number, call = next(self._call_numbers), _PendingCall()
        envelope = Envelope(
            kind=EnvelopeKind.CALL,
            number=number,
            sender=self._sender,
            receiver=receiver,
            message=message,
        )
        self._pending_calls[number] = call
        try:
            await connection.send(envelope.encode())
            with anyio.move_on_after(timeout.total_seconds()):
                await call.completed.wait()
        except ConnectionClosed as error:
            raise PeerReplyLostError(str(error)) from error
        finally:
            del self._pending_calls[number]
        if call.reply is None:
            raise PeerReplyLostError(f"no reply from {self._uri}")
        if call.reply.kind is EnvelopeKind.REFUSED_UNREAD:
            raise PeerNotReachedError(
                f"incarnation {receiver} is not running at {self._uri}"
            )
        assert call.reply.message is not None
        return call.reply.message

    async def _connect(self) -> ClientConnection:
        async with self._connect_lock:
            if self._connection is None:
                try:
                    self._connection = await connect(
                        self._uri,
                        open_timeout=CONNECT_TIMEOUT_SECONDS,
                        close_timeout=CONNECT_TIMEOUT_SECONDS,
                        ping_interval=PING_INTERVAL_SECONDS,
                        ping_timeout=PING_TIMEOUT_SECONDS,
                        max_size=MAX_MESSAGE_BYTES,
                        compression=None,
                        proxy=None,
                    )
                except (OSError, TimeoutError, InvalidHandshake) as error:
                    raise PeerNotReachedError(str(error)) from error
                self._group.start_soon(self._read_replies, self._connection)
            return self._connection

    async def _read_replies(self, connection: ClientConnection) -> None:
        try:
            async for data in connection:
                envelope = Envelope.decode(data)  # type: ignore[arg-type]
                call = self._pending_calls.get(envelope.number)
                if call is not None:
                    call.reply = envelope
                    call.completed.set()
        except (ConnectionClosed, ValueError):
            pass
        finally:
            self._connection = None
            for call in self._pending_calls.values():
                call.completed.set()
            with anyio.CancelScope(shield=True):
                await connection.close()


__all__ = ["MAX_MESSAGE_BYTES", "PeerLink"]
