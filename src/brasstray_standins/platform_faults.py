"""Hold the faults that the stand-in platform can show."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta


@dataclass
class PlatformFaults:
    """Turn faults of the platform on and off."""

    down: bool = False
    delay: timedelta = timedelta(milliseconds=3)
    lose_replies: int = 0
    freeze_list: bool = False


__all__ = ["PlatformFaults"]
