"""Write log lines to a file descriptor without blocking, and count dropped lines."""

from __future__ import annotations

import json
import os
from collections import deque
from datetime import timedelta
from typing import TYPE_CHECKING, Any

import anyio

if TYPE_CHECKING:
    from brasstray.clock.clock import Clock

# The longest time that a line is buffered, so that a burst costs one system call.
FLUSH_INTERVAL = timedelta(milliseconds=100)
# About what a host logs in a second of the worst burst of failures; more is dropped.
MAX_BUFFERED_LINES = 1_000
MAX_LINES_PER_SECOND = 300


class BoundedOutput:
    """Write eliot messages through a bounded buffer with a rate limit.

    A log reader that hangs, or a burst of failures, must not block the host: a line
    over either limit is dropped and counted, and the count is logged.
    """

    def __init__(self, descriptor: int, clock: Clock) -> None:
        self._descriptor = descriptor
        self._clock = clock
        self._lines: deque[bytes] = deque()
        self._dropped = 0
        self._unwritten = b""
        self._tokens = float(MAX_LINES_PER_SECOND)
        self._refilled_at = timedelta(0)
        self._wake = anyio.Event()

    @property
    def dropped(self) -> int:
        """Return how many lines were dropped since the last `lines_dropped` line."""
        return self._dropped

    def __call__(self, message: dict[str, Any]) -> None:
        """Buffer one message, or drop it if it exceeds a limit."""
        self._wake.set()
        if len(self._lines) >= MAX_BUFFERED_LINES or self._tokens < 1:
            self._dropped += 1
            return
        self._tokens -= 1
        self._lines.append(json.dumps(message, default=str).encode() + b"\n")

    async def run(self) -> None:
        """Write buffered lines at each flush interval until cancelled."""
        self._refilled_at = self._clock.monotonic()
        while True:
            await self._wake.wait()
            self._wake = anyio.Event()
            await self._clock.sleep(FLUSH_INTERVAL)
            self._refill()
            self.flush()

    def _refill(self) -> None:
        now = self._clock.monotonic()
        refill = MAX_LINES_PER_SECOND * (now - self._refilled_at).total_seconds()
        self._tokens = min(float(MAX_LINES_PER_SECOND), self._tokens + refill)
        self._refilled_at = now

    def flush(self) -> None:
        """Write as many buffered bytes as the descriptor accepts without blocking."""
        if self._dropped and len(self._lines) < MAX_BUFFERED_LINES:
            notice = {"message_type": "brasstray:lines_dropped", "count": self._dropped}
            self._dropped = 0
            self._lines.append(json.dumps(notice).encode() + b"\n")
        data = self._unwritten + b"".join(self._lines)
        self._lines.clear()
        if not data:
            return
        try:
            written = os.write(self._descriptor, data)
        except BlockingIOError:
            written = 0
        except OSError:
            # The reader has closed its end, so the error cannot be logged.
            self._unwritten = b""
            return
        self._unwritten = data[written:]


__all__ = ["BoundedOutput"]
