"""Rank the hosts that may take over a pool, and decide when to hand it over."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from brasstray.job.ids import HostName

# The third successor remains if the owner and two successors fail together, as when a
# rack fails. Hosts that are not named claim later, with random jitter.
MAX_SUCCESSORS = 3
# The additional delay of each rank: enough to see the claim of the previous rank.
CLAIM_DELAY_STEP = timedelta(milliseconds=40)
# The least ratio of the new owner's power to the current one's. A smaller gain is not
# worth a takeover, and power measured on equal hosts varies, which must not move a pool
# back and forth.
MIN_POWER_RATIO = 1.5
# The least time before an owner hands a pool over. Otherwise, each of several hosts
# that return one after the other would cause a handover.
MIN_TENURE = timedelta(seconds=3)


class Succession:
    """Hold the order of succession that the last owner of a pool announced.

    It prevents two failures. When twenty hosts see an owner die at the same moment, all
    of them would claim its pool, and all but one of the writes to the store are wasted.
    And a host with a quarter of the power that takes over the pool of a busy data
    centre reads the ends of tasks late, so that callers wait while it is the owner.
    """

    def __init__(self, host: HostName) -> None:
        self._host = host
        self._successors: tuple[HostName, ...] = ()

    def set_successors(self, hosts: tuple[HostName, ...]) -> None:
        """Record the successors, in the order in which they claim the pool."""
        self._successors = hosts

    @property
    def claim_delay(self) -> timedelta:
        """Return how long this host waits for the successors ranked before it."""
        return CLAIM_DELAY_STEP * self._rank

    @property
    def is_successor(self) -> bool:
        """Return whether this host is one of the successors."""
        return self._host in self._successors

    @property
    def _rank(self) -> int:
        return (
            self._successors.index(self._host)
            if self.is_successor
            else len(self._successors)
        )


def rank_successors(powers: Mapping[HostName, float]) -> tuple[HostName, ...]:
    """Return the hosts to take over a pool, the most powerful first."""
    ranked = sorted(powers, key=lambda host: (-powers[host], host))
    return tuple(ranked[:MAX_SUCCESSORS])


def should_hand_over(
    own_power: float, others: Iterable[float], tenure: timedelta
) -> bool:
    """Return whether to hand over a pool that was owned for `tenure`.

    `own_power` is the power of the owner, `others` that of the reachable hosts.
    """
    strongest = max(others, default=0.0)
    return tenure >= MIN_TENURE and strongest >= own_power * MIN_POWER_RATIO


__all__ = [
    "CLAIM_DELAY_STEP",
    "MAX_SUCCESSORS",
    "MIN_TENURE",
    "Succession",
    "rank_successors",
    "should_hand_over",
]
