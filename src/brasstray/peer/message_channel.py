"""Send queued messages over a connection, and detect its end."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
import anyio.lowlevel

from brasstray.peer.message_stream import StreamClosedError
from brasstray.peer.pool_messages import FULL_FRAME_MESSAGES

if TYPE_CHECKING:
    from collections.abc import Callable
    from datetime import timedelta

    from brasstray.peer.message_stream import MessageStream
    from brasstray.peer.pool_messages import PoolMessage

# Far more than a host sends within the silence timeout. A peer that reads too slowly
# is disconnected, so that its queue doesn't exhaust the memory.
MAX_QUEUED_MESSAGES = 20_000


class MessageChannel:
    """Run one connection, sending queued messages together.

    The connection is closed if nothing is received for `silence_timeout`, or once too
    many messages are queued. `on_message` is called with each message received, and
    `on_oversized` with each one that is too large to be sent. Whatever error the stream
    raises ends this connection only; errors of the callbacks are passed on.
    """

    def __init__(
        self,
        stream: MessageStream,
        silence_timeout: timedelta,
        on_message: Callable[[PoolMessage], None],
        on_oversized: Callable[[PoolMessage], None],
    ) -> None:
        self._stream = stream
        self._silence_timeout = silence_timeout
        self._on_message = on_message
        self._on_oversized = on_oversized
        self._queue: list[PoolMessage] = []
        self._flush_requested = anyio.Event()
        self._open = True
        self._scope = anyio.CancelScope()
        self._end_reason = "closed"

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

    def withdraw(self, is_unneeded: Callable[[PoolMessage], bool]) -> None:
        """Remove the queued messages that need not be sent any more."""
        self._queue = [each for each in self._queue if not is_unneeded(each)]

    def close(self) -> None:
        """Close the connection; messages that were not read yet are ignored."""
        self._open = False
        self._scope.cancel()

    async def run(self) -> str:
        """Send and receive until the connection ends; return the reason."""
        try:
            with self._scope:
                async with anyio.create_task_group() as group:
                    group.start_soon(self._send_queued)
                    self._end_reason = await self._read()
                    group.cancel_scope.cancel()
        finally:
            self._open = False
            with anyio.CancelScope(shield=True):
                await self._close_stream()
        return self._end_reason

    async def _close_stream(self) -> None:
        try:
            await self._stream.aclose()
        except Exception as error:  # noqa: BLE001 - any error of one connection
            self._end_reason += f"; close failed: {error!r}"

    async def _read(self) -> str:
        while self._open:
            try:
                with anyio.fail_after(self._silence_timeout.total_seconds()):
                    messages = await self._stream.receive()
            except TimeoutError:
                return "silent"
            except StreamClosedError as error:
                return f"closed: {error}"
            except Exception as error:  # noqa: BLE001 - any error of one connection
                return f"receive failed: {error!r}"
            for message in messages:
                if self._open:
                    self._on_message(message)
        return "too slow"

    async def _send_queued(self) -> None:
        while True:
            await self._flush_requested.wait()
            self._flush_requested = anyio.Event()
            while self._queue:
                # Many messages go out in parts, so that those received and the timers
                # of this host need not wait for all of them.
                part = self._queue[:FULL_FRAME_MESSAGES]
                del self._queue[:FULL_FRAME_MESSAGES]
                try:
                    oversized = await self._stream.send(part)
                except StreamClosedError:
                    # _read gets the same error and returns the reason.
                    return
                except Exception as error:  # noqa: BLE001 - of one connection
                    self._end_reason = f"send failed: {error!r}"
                    self._scope.cancel()
                    return
                for message in oversized:
                    self._on_oversized(message)
                if self._queue:
                    await anyio.lowlevel.checkpoint()


__all__ = ["MessageChannel"]
