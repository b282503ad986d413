"""Freeze one entry host as a stopped process would be."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import anyio

if TYPE_CHECKING:
    from datetime import datetime, timedelta

    from brasstray.clock.clock import Clock


class Gate:
    """Hold back everything that passes while closed.

    A gate that is closed again before it was opened stays closed until both ends.
    """

    def __init__(self) -> None:
        self._open = anyio.Event()
        self._open.set()
        self._close_count = 0

    def close(self) -> None:
        """Hold back what comes."""
        if not self._close_count:
            self._open = anyio.Event()
        self._close_count += 1

    def open(self) -> None:
        """Let everything pass, unless it was closed once more."""
        self._close_count = max(0, self._close_count - 1)
        if not self._close_count:
            self._open.set()

    def release(self) -> None:
        """Let everything pass for good, as the process has ended."""
        self._close_count = 0
        self._open.set()

    async def wait(self) -> None:
        """Wait until open; shielded, since a stopped process has no timeouts."""
        if not self._open.is_set():
            with anyio.CancelScope(shield=True):
                await self._open.wait()


class GatedClock:
    """Sleep for as long as the gate is closed, at least."""

    def __init__(self, clock: Clock, gate: Gate) -> None:
        self._clock = clock
        self._gate = gate

    def now(self) -> datetime:
        """Return the wall time in UTC."""
        return self._clock.now()

    def monotonic(self) -> timedelta:
        """Return the loop's time."""
        return self._clock.monotonic()

    async def sleep(self, duration: timedelta) -> None:
        """Wait for `duration` and for the gate."""
        await self._clock.sleep(duration)
        await self._gate.wait()


class GatedProxy:
    """Wait for a gate before and after every method call on an object."""

    def __init__(self, target: Any, gate: Gate) -> None:
        self._target = target
        self._gate = gate

    def __getattr__(self, name: str) -> Any:
        method = getattr(self._target, name)

        async def gated(*args: Any, **kwargs: Any) -> Any:
            await self._gate.wait()
            try:
                return await method(*args, **kwargs)
            finally:
                await self._gate.wait()

        return gated


__all__ = ["Gate", "GatedClock", "GatedProxy"]
