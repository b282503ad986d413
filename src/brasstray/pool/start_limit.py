"""Limit where tasks may start by the last contact with their coordinator."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from datetime import timedelta

    from brasstray.pool.minion import Minion
    from brasstray.pool.roster import Roster
    from brasstray.pool.step_tasks import StepTasks
    from brasstray.pool.timing import PoolTiming


class StartLimit:
    """Leave out minions whose leases outlast the orphan lifetime of a task.

    A run continues for as long as any lease on its minion, also one that was granted
    before its start. If its coordinator has died and every stop gets lost, that lease
    must end the run.
    """

    def __init__(self, roster: Roster, timing: PoolTiming) -> None:
        self._roster = roster
        self._orphan_lifetime = timing.orphan_lifetime
        # The clock that a lease counts on may have been read a whole wait before.
        slowest = 1 - timing.clock_rate_error
        drift = timing.idle_hold_wait * timing.clock_rate_error
        self._unlimited_age = timing.orphan_lifetime - (timing.lease + drift) / slowest

    def allowed(
        self, step: StepTasks, minions: list[Minion], now: timedelta
    ) -> list[Minion]:
        """Return those of `minions` on which tasks of `step` may start at `now`."""
        last_contact = step.requester.last_contact
        if now - last_contact <= self._unlimited_age:
            return minions
        limit = last_contact + self._orphan_lifetime
        return [minion for minion in minions if self._leases_end(minion) <= limit]

    def _leases_end(self, minion: Minion) -> timedelta:
        return self._roster.session(minion.entry.id).leases_end


__all__ = ["StartLimit"]
