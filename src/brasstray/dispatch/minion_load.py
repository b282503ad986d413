"""Describe a minion as one entry host sees it."""

from __future__ import annotations

from dataclasses import dataclass, field
from datetime import timedelta
from typing import TYPE_CHECKING

from brasstray.dispatch.minion_health import MinionHealth
from brasstray.store.host_kind import HostState

if TYPE_CHECKING:
    from brasstray.job.ids import ServiceName
    from brasstray.store.listed_host import ListedHost


@dataclass
class MinionLoad:
    """Hold a minion's listing, health, backoff, and this host's starts and credits.

    A credit is the right to fill one of the minion's slots; a start in progress uses
    one. `outstanding` counts this host's starts in progress on the minion.
    """

    listed: ListedHost
    services: set[ServiceName] = field(default_factory=set)
    outstanding: int = 0
    credits: int = 0
    leaving: bool = False
    backoff_until: timedelta = timedelta(0)
    health: MinionHealth = field(default_factory=MinionHealth)

    @property
    def accepts_work(self) -> bool:
        """Return whether the minion is listed as live and not known to be leaving."""
        return not self.leaving and self.listed.state is HostState.LIVE

    @property
    def idle_credits(self) -> int:
        """Return how many credits are not in use by a start."""
        return max(0, self.credits - self.outstanding)

    def can_start(self, now: timedelta) -> bool:
        """Return whether a start may be sent at the monotonic time `now`.

        A minion on probation gets one start at a time.
        """
        if self.health.on_probation and self.outstanding:
            return False
        backing_off = max(self.backoff_until, self.health.ejected_until) > now
        return self.accepts_work and not backing_off


__all__ = ["MinionLoad"]
