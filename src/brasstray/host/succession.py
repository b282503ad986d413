"""Rank the hosts that may own a pool, and tell when it had better change hands."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from brasstray.job.ids import HostName

# With the owner and two successors gone at once, as when a rack fails, the third is
# left; hosts that are not named come after it, spread by chance.
SUCCESSORS_NAMED = 3
# How much later each rank claims: enough to see the claim of the rank before it.
RANK_STEP = timedelta(milliseconds=40)
# A pool moves only to a host so many times as strong. Less gains little for the work of
# a takeover, and measures of equal hosts must not make it move to and fro.
WORTH_MOVING = 1.5
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

    def __init__(self, here: HostName) -> None:
        self._here = here
        self._named: tuple[HostName, ...] = ()

    def name(self, hosts: tuple[HostName, ...]) -> None:
        """Record who comes next, the first claims first."""
        self._named = hosts

    @property
    def head_start(self) -> timedelta:
        """Return how long this host waits for those that come before it."""
        return RANK_STEP * self._rank

    @property
    def named(self) -> bool:
        """Return whether this host has a rank of its own."""
        return self._here in self._named

    @property
    def _rank(self) -> int:
        return self._named.index(self._here) if self.named else len(self._named)


def successors(powers: Mapping[HostName, float]) -> tuple[HostName, ...]:
    """Return who is to take a pool over next, the strongest first."""
    ranked = sorted(powers, key=lambda host: (-powers[host], host))
    return tuple(ranked[:SUCCESSORS_NAMED])


def better_moved(own_power: float, others: Iterable[float], held: timedelta) -> bool:
    """Return whether a pool held for `held` had better go to a stronger host."""
    strongest = max(others, default=0.0)
    return held >= SHORTEST_TENURE and strongest >= own_power * WORTH_MOVING


__all__ = [
    "RANK_STEP",
    "SHORTEST_TENURE",
    "SUCCESSORS_NAMED",
    "Succession",
    "better_moved",
    "successors",
]
