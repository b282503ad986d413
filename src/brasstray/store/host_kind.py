"""List the kinds and states of hosts in the platform's list."""

from __future__ import annotations

from enum import Enum


class HostKind(Enum):
    """Tell what runs on a listed host."""

    ENTRY = "entry"
    MINION = "minion"


class HostState(Enum):
    """Tell whether a listed host stays."""

    LIVE = "live"
    LEAVING = "leaving"


__all__ = ["HostKind", "HostState"]
