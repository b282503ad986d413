"""Describe another entry host as this one sees it."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from datetime import timedelta

    from brasstray.job.ids import HostName, IncarnationId


@dataclass
class Member:
    """Hold what the last heartbeat of a host reported, and when it arrived.

    `last_heard` is a monotonic time; `holdings` are the host's credits by minion, for
    the minions that this host reconciles.
    """

    host: HostName
    incarnation: IncarnationId
    last_heard: timedelta
    draining: bool = False
    table_version: int = 0
    held_credits: int = 0
    holdings: dict[str, int] = field(default_factory=dict)


__all__ = ["Member"]
