"""Send messages over a connection without waiting, and hear them with a time limit."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from brasstray.peer.message_stream import StreamClosedError

if TYPE_CHECKING:
    from collections.abc import Callable
    from datetime import timedelta

    from brasstray.peer.message_stream import MessageStream
    from brasstray.peer.pool_messages import PoolMessage

# Far more than a host sends in the time after which a peer counts as silent; a peer
# that reads so slowly is cut off instead of filling the memory.
MOST_WAITING = 20_000


class Pipe:
    """Run one connection: what waits goes out in one frame.

    It ends when the connection does, or when nothing was heard for `silence`.
    """

    def __init__(
        self,
        stream: MessageStream,
        silence: timedelta,
        take: Callable[[PoolMessage], None],
    ) -> None:
        self._stream = stream
        self._silence = silence
        self._take = take
        self._waiting: list[PoolMessage] = []
        self._wake = anyio.Event()
        self._open = True

    @property
    def open(self) -> bool:
        """Tell whether messages still go out."""
        return self._open

    def allow_silence(self, silence: timedelta) -> None:
        """End after this much silence from the next message on."""
        self._silence = silence

    def tell(self, message: PoolMessage) -> None:
        """Queue `message`, and have all that waits sent."""
        self.tell_later(message)
        self._wake.set()

    def tell_later(self, message: PoolMessage) -> None:
        """Queue `message`, to go out with the next one that does not wait."""
        if not self._open:
            return
        if len(self._waiting) >= MOST_WAITING:
            self._open = False
        self._waiting.append(message)

    async def run(self) -> str:
        """Carry messages until the connection ends; return why it did."""
        reason = "closed"
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(self._write)
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
                with anyio.fail_after(self._silence.total_seconds()):
                    messages = await self._stream.receive()
            except TimeoutError:
                return "silent"
            except StreamClosedError as error:
                return f"closed: {error}"
            for message in messages:
                self._take(message)
        return "too slow"

    async def _write(self) -> None:
        try:
            while True:
                await self._wake.wait()
                self._wake = anyio.Event()
                messages, self._waiting = self._waiting, []
                await self._stream.send(messages)
        except StreamClosedError:
            # The reader meets the same end and reports it.
            return


__all__ = ["Pipe"]
