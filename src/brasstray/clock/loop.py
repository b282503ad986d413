"""Provide the clock of the running event loop."""

from __future__ import annotations

import time
from datetime import UTC, datetime, timedelta
from typing import TYPE_CHECKING

import anyio
import sniffio

if TYPE_CHECKING:
    from collections.abc import Callable


class LoopClock:
    """Read the event loop's clock, which is virtual if the loop is simulated."""

    def __init__(self, origin: datetime | None = None) -> None:
        self._origin = origin
        self._read_time: Callable[[], float] | None = None

    def now(self) -> datetime:
        """Return the wall time in UTC, or `origin`, if given, plus the loop's time."""
        if self._origin is None:
            return datetime.now(UTC)
        return self._origin + self.monotonic()

    def monotonic(self) -> timedelta:
        """Return the loop's time."""
        if self._read_time is None:
            self._read_time = _loop_time_source()
        return timedelta(seconds=self._read_time())

    async def sleep(self, duration: timedelta) -> None:
        """Wait for `duration` of the loop's time."""
        await anyio.sleep(duration.total_seconds())


def _loop_time_source() -> Callable[[], float]:
    # anyio.current_time detects the running library in every call, which takes ten
    # times as long as reading the clock.
    in_asyncio = sniffio.current_async_library() == "asyncio"
    return time.monotonic if in_asyncio else anyio.current_time


__all__ = ["LoopClock"]
