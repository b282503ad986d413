"""Define the kinds and states of hosts in the platform's host list."""

from __future__ import annotations

from enum import Enum


class HostKind(Enum):
    """Distinguish entry hosts and minions."""

    ENTRY = "entry"
    MINION = "minion"


class HostState(Enum):
    """Distinguish hosts in service from those about to be removed."""

    LIVE = "live"
    LEAVING = "leaving"


__all__ = ["HostKind", "HostState"]
