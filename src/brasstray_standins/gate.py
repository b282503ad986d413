"""Suspend a simulated host, as SIGSTOP suspends a process."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import anyio

if TYPE_CHECKING:
    from datetime import datetime, timedelta

    from brasstray.clock.clock import Clock


class Gate:
    """Block every waiter while closed.

    Closings nest: the gate opens after as many calls of `open` as of `close`.
    """

    def __init__(self) -> None:
        self._open = anyio.Event()
        self._open.set()
        self._close_count = 0

    def close(self) -> None:
        """Block waiters until a matching `open`."""
        if not self._close_count:
            self._open = anyio.Event()
        self._close_count += 1

    def open(self) -> None:
        """Undo one `close`; release the waiters if it was the last one."""
        self._close_count = max(0, self._close_count - 1)
        if not self._close_count:
            self._open.set()

    def release(self) -> None:
        """Open the gate however often it was closed, since the process has ended."""
        self._close_count = 0
        self._open.set()

    async def wait(self) -> None:
        """Wait until open.

        The wait is shielded, since no timeout fires in a stopped process.
        """
        if not self._open.is_set():
            with anyio.CancelScope(shield=True):
                await self._open.wait()


class GatedClock:
    """Delay wake-ups until the gate is open."""

    def __init__(self, clock: Clock, gate: Gate) -> None:
        self._clock = clock
        self._gate = gate

    def now(self) -> datetime:
        """Return the wall time in UTC."""
        return self._clock.now()

    def monotonic(self) -> timedelta:
        """Return the event loop's time."""
        return self._clock.monotonic()

    async def sleep(self, duration: timedelta) -> None:
        """Wait for `duration`, then until the gate is open."""
        await self._clock.sleep(duration)
        await self._gate.wait()


class GatedProxy:
    """Wait for a gate before and after every method call on `target`."""

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
