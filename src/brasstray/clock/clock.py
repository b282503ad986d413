"""Define the interface to the clock."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from datetime import datetime, timedelta


class Clock(Protocol):
    """Return the time, and sleep."""

    def now(self) -> datetime:
        """Return the wall time in UTC."""

    def monotonic(self) -> timedelta:
        """Return the time since an arbitrary start; it never decreases."""

    async def sleep(self, duration: timedelta) -> None:
        """Wait for `duration`."""


__all__ = ["Clock"]
