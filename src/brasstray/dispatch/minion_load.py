"""Hold what one entry host knows of one minion."""

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
    """Hold a minion's listing, this host's starts and credits, and its rest.

    A credit is the right to fill one of the minion's slots; a start uses one.
    """

    listed: ListedHost
    services: set[ServiceName] = field(default_factory=set)
    outstanding: int = 0
    credits: int = 0
    leaving: bool = False
    backoff_until: timedelta = timedelta(0)
    health: MinionHealth = field(default_factory=MinionHealth)

    @property
    def staying(self) -> bool:
        """Tell whether the minion takes new work for all that is known."""
        return not self.leaving and self.listed.state is HostState.LIVE

    @property
    def idle_credits(self) -> int:
        """Return how many credits no start uses."""
        return max(0, self.credits - self.outstanding)

    def can_start(self, now: timedelta) -> bool:
        """Tell whether a start may be sent at `now`, by the monotonic clock."""
        if self.health.on_probation and self.outstanding:
            return False
        resting = max(self.backoff_until, self.health.ejected_until) > now
        return self.staying and not resting


__all__ = ["MinionLoad"]
