"""Rank the hosts that may own a pool, and tell when it had better change hands."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from brasstray.job.ids import HostName

# With the owner and two successors gone at once, as when a rack fails, the third is
# left; hosts that are not named come after it, spread by chance.
MAX_SUCCESSORS = 3
# How much later each rank claims: enough to see the claim of the rank before it.
CLAIM_DELAY_STEP = timedelta(milliseconds=40)
# A pool moves only to a host so many times as strong. Less gains little for the work of
# a takeover, and measures of equal hosts must not make it move to and fro.
MIN_POWER_RATIO = 1.5
# For how long an owner keeps a pool at least: hosts that come back one by one would
# otherwise pass it on each time.
SHORTEST_TENURE = timedelta(seconds=3)


class Succession:
    """Hold who takes over a pool, as its last owner told.

    Guards against two failures. Where twenty hosts see an owner die at once, all of
    them would claim its pool, and all but one of the store's writes are wasted. And
    where a quarter as strong a host gets the pool of a busy data centre, it reads ends
    late, and callers wait for as long as it has the pool.
    """

    def __init__(self, host: HostName) -> None:
        self._host = host
        self._successors: tuple[HostName, ...] = ()

    def set_successors(self, hosts: tuple[HostName, ...]) -> None:
        """Record who comes next, the first claims first."""
        self._successors = hosts

    @property
    def claim_delay(self) -> timedelta:
        """Return how long this host waits for those that come before it."""
        return CLAIM_DELAY_STEP * self._rank

    @property
    def is_successor(self) -> bool:
        """Return whether this host has a rank of its own."""
        return self._host in self._successors

    @property
    def _rank(self) -> int:
        return (
            self._successors.index(self._host)
            if self.is_successor
            else len(self._successors)
        )


def rank_successors(powers: Mapping[HostName, float]) -> tuple[HostName, ...]:
    """Return who is to take a pool over next, the strongest first."""
    ranked = sorted(powers, key=lambda host: (-powers[host], host))
    return tuple(ranked[:MAX_SUCCESSORS])


def should_hand_over(
    own_power: float, others: Iterable[float], held: timedelta
) -> bool:
    """Return whether a pool held for `held` had better go to a stronger host."""
    strongest = max(others, default=0.0)
    return held >= SHORTEST_TENURE and strongest >= own_power * MIN_POWER_RATIO


__all__ = [
    "CLAIM_DELAY_STEP",
    "MAX_SUCCESSORS",
    "SHORTEST_TENURE",
    "Succession",
    "rank_successors",
    "should_hand_over",
]
