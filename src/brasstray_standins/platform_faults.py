"""Define the faults that can be injected into the stand-in platform."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta


@dataclass
class PlatformFaults:
    """Hold the injected faults of the platform.

    down: every call fails.
    delay: how long each call takes.
    lose_replies: how many of the next writes are executed but reported as failed.
    freeze_host_list: the host list no longer changes.
    """

    down: bool = False
    delay: timedelta = timedelta(milliseconds=3)
    lose_replies: int = 0
    freeze_host_list: bool = False


__all__ = ["PlatformFaults"]
