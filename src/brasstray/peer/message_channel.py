"""Send queued messages over a connection and detect a silent peer."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from brasstray.peer.message_stream import StreamClosedError

if TYPE_CHECKING:
    from collections.abc import Callable
    from datetime import timedelta

    from brasstray.peer.message_stream import MessageStream
    from brasstray.peer.pool_messages import PoolMessage

# Far more than a host sends within the silence timeout. A peer that reads too slowly
# is disconnected, so that its queue doesn't exhaust the memory.
MAX_QUEUED_MESSAGES = 20_000


class MessageChannel:
    """Run one connection, sending all queued messages in one frame.

    The connection is closed if nothing is received for `silence_timeout`, or once too
    many messages are queued. `on_message` is called with each message received.
    """

    def __init__(
        self,
        stream: MessageStream,
        silence_timeout: timedelta,
        on_message: Callable[[PoolMessage], None],
    ) -> None:
        self._stream = stream
        self._silence_timeout = silence_timeout
        self._on_message = on_message
        self._queue: list[PoolMessage] = []
        self._flush_requested = anyio.Event()
        self._open = True
        self._scope = anyio.CancelScope()

    @property
    def open(self) -> bool:
        """Return whether messages are still sent."""
        return self._open

    def set_silence_timeout(self, silence_timeout: timedelta) -> None:
        """Change the silence timeout, starting with the next message received."""
        self._silence_timeout = silence_timeout

    def send(self, message: PoolMessage) -> None:
        """Queue `message` and send the queue."""
        self.send_deferred(message)
        self._flush_requested.set()

    def send_deferred(self, message: PoolMessage) -> None:
        """Queue `message`, to be sent together with the next call of `send`."""
        if not self._open:
            return
        if len(self._queue) >= MAX_QUEUED_MESSAGES:
            self._open = False
        self._queue.append(message)

    def close(self) -> None:
        """Close the connection; messages that were not read yet are ignored."""
        self._open = False
        self._scope.cancel()

    async def run(self) -> str:
        """Send and receive until the connection ends; return the reason."""
        reason = "closed"
        try:
            with self._scope:
                async with anyio.create_task_group() as group:
                    group.start_soon(self._send_queued)
                    reason = await self._read()
                    group.cancel_scope.cancel()
        finally:
            self._open = False
            with anyio.CancelScope(shield=True):
                await self._stream.aclose()
        return reason

    async def _read(self) -> str:
        while self._open:
            try:
                with anyio.fail_after(self._silence_timeout.total_seconds()):
                    messages = await self._stream.receive()
            except TimeoutError:
                return "silent"
            except StreamClosedError as error:
                return f"closed: {error}"
            for message in messages:
                if self._open:
                    self._on_message(message)
        return "too slow"

    async def _send_queued(self) -> None:
        try:
            while True:
                await self._flush_requested.wait()
                self._flush_requested = anyio.Event()
                messages, self._queue = self._queue, []
                await self._stream.send(messages)
        except StreamClosedError:
            # _read gets the same error and returns the reason.
            return


__all__ = ["MessageChannel"]
