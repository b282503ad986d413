"""Write lines to a file descriptor without blocking, and count what is dropped."""

from __future__ import annotations

import json
import os
from collections import deque
from datetime import timedelta
from typing import TYPE_CHECKING, Any

import anyio

if TYPE_CHECKING:
    from brasstray.clock.clock import Clock

# Lines wait this long at most, so that a burst costs one system call.
FLUSH_INTERVAL = timedelta(milliseconds=100)
# About a second of lines of a host in the worst storm; beyond it lines are dropped.
MOST_LINES = 1_000
MOST_LINES_A_SECOND = 300


class BoundedOutput:
    """Take eliot's messages, and write some of them each interval.

    Guards against a reader of the log that stands still, or a storm of failures: a
    line that cannot be kept is dropped and counted, and the count is written.
    """

    def __init__(self, descriptor: int, clock: Clock) -> None:
        self._descriptor = descriptor
        self._clock = clock
        self._lines: deque[bytes] = deque()
        self._dropped = 0
        self._rest = b""
        self._allowed = float(MOST_LINES_A_SECOND)
        self._renewed_at = timedelta(0)
        self._wake = anyio.Event()

    @property
    def dropped(self) -> int:
        """Return how many lines were dropped and not yet told of."""
        return self._dropped

    def __call__(self, message: dict[str, Any]) -> None:
        """Take one message."""
        self._wake.set()
        if len(self._lines) >= MOST_LINES or self._allowed < 1:
            self._dropped += 1
            return
        self._allowed -= 1
        self._lines.append(json.dumps(message, default=str).encode() + b"\n")

    async def run(self) -> None:
        """Write until cancelled."""
        self._renewed_at = self._clock.monotonic()
        while True:
            await self._wake.wait()
            self._wake = anyio.Event()
            await self._clock.sleep(FLUSH_INTERVAL)
            self._renew()
            self.flush()

    def _renew(self) -> None:
        now = self._clock.monotonic()
        gained = MOST_LINES_A_SECOND * (now - self._renewed_at).total_seconds()
        self._allowed = min(float(MOST_LINES_A_SECOND), self._allowed + gained)
        self._renewed_at = now

    def flush(self) -> None:
        """Write what can be written at once."""
        if self._dropped and len(self._lines) < MOST_LINES:
            told = {"message_type": "brasstray:lines_dropped", "count": self._dropped}
            self._dropped = 0
            self._lines.append(json.dumps(told).encode() + b"\n")
        data = self._rest + b"".join(self._lines)
        self._lines.clear()
        if not data:
            return
        try:
            written = os.write(self._descriptor, data)
        except BlockingIOError:
            written = 0
        except OSError:
            # Nobody reads any more; there is nowhere to say so.
            self._rest = b""
            return
        self._rest = data[written:]


__all__ = ["BoundedOutput"]
