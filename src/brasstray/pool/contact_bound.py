"""Bound the last contact between the coordinators of a pool's runs and its owner."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

from brasstray.pool.minion import Reachability

if TYPE_CHECKING:
    from collections.abc import Callable

    from brasstray.clock.clock import Clock
    from brasstray.pool.minion import Minion
    from brasstray.pool.roster import Roster
    from brasstray.pool.task_registry import TaskRegistry
    from brasstray.pool.timing import PoolTiming

# A bound stays valid, as contacts only become later. Each heartbeat needs one.
_CACHE_TIME = timedelta(milliseconds=50)


class ContactBound:
    """Combine what the previous owner reported with the tasks that this owner knows.

    `contact_age` is the age of the oldest last contact that the previous owner
    reported, None if unknown. `minions_recovered` returns whether the minions of the
    previous owner are known and the recovery is over.
    """

    def __init__(
        self,
        contact_age: timedelta | None,
        roster: Roster,
        tasks: TaskRegistry,
        clock: Clock,
        timing: PoolTiming,
        minions_recovered: Callable[[], bool],
    ) -> None:
        now = clock.monotonic()
        self._roster = roster
        self._tasks = tasks
        self._clock = clock
        self._minions_recovered = minions_recovered
        slowest = 1 - timing.clock_rate_error
        self._foreign_leases_end = now + timing.longest_lease / slowest
        if contact_age is None:
            contact_age = timing.orphan_lifetime
        self._inherited = self._oldest = now - contact_age
        self._computed_at: timedelta | None = None

    @property
    def inherited(self) -> timedelta:
        """Return the bound for runs that this owner did not start."""
        return self._inherited

    @property
    def oldest(self) -> timedelta:
        """Return the bound for all runs that are or may become active in the pool."""
        now = self._clock.monotonic()
        if self._computed_at is None or now - self._computed_at >= _CACHE_TIME:
            self._computed_at = now
            self._oldest = self._compute_oldest(now)
        return self._oldest

    def _compute_oldest(self, now: timedelta) -> timedelta:
        # Minions that were not inherited may have runs until their leases expire.
        if now < self._foreign_leases_end and not self._minions_recovered():
            return self._inherited
        contacts = [
            minion.oldest_contact for minion in self._roster.minions if minion.runs
        ]
        # A queued task may start after its coordinator has died.
        contacts += [step.requester.last_contact for step in self._tasks.steps]
        # A replaced owner that lives may reach a minion that this one has not reached.
        if any(map(_is_unprobed, self._roster.minions)):
            contacts.append(self._inherited)
        return min(contacts, default=now)


def _is_unprobed(minion: Minion) -> bool:
    return minion.reach is Reachability.UNPROBED


__all__ = ["ContactBound"]
