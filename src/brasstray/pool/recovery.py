"""Recover after a failover: find the runs on the minions, and resolve claimed tasks."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

import anyio

from brasstray.pool.minion import Reachability
from brasstray.pool.pool_task import TaskPhase
from brasstray.pool.run_record import RunState

if TYPE_CHECKING:
    from collections.abc import Callable

    from brasstray.batch.ids import PoolId
    from brasstray.clock.clock import Clock
    from brasstray.pool.minion import Minion
    from brasstray.pool.owner_events import OwnerEvents
    from brasstray.pool.pool_task import PoolTask
    from brasstray.pool.roster import Roster
    from brasstray.pool.task_registry import TaskRegistry
    from brasstray.pool.timing import PoolTiming

_POLL_INTERVAL = timedelta(milliseconds=5)


class Recovery:
    """Find the runs of the previous owner, within the recovery timeout.

    `minions_known` is whether the previous owner has reported its minions, and
    `last_contact` when it was last in contact with the coordinators of all runs. No
    task may start before the recovery is over, as it might already be running.
    """

    def __init__(
        self,
        pool: PoolId,
        tasks: TaskRegistry,
        roster: Roster,
        clock: Clock,
        timing: PoolTiming,
        events: OwnerEvents,
        last_contact: timedelta,
        *,
        minions_known: bool,
    ) -> None:
        self._pool = pool
        self._tasks = tasks
        self._roster = roster
        self._clock = clock
        self._timing = timing
        self._events = events
        self._last_contact = last_contact
        self._minions_known = minions_known
        self._listed = anyio.Event()
        self._recovered = anyio.Event()
        self._claims_closed = False

    @property
    def recovered(self) -> bool:
        """Return whether the recovery is over."""
        return self._recovered.is_set()

    @property
    def minions_recovered(self) -> bool:
        """Return whether the previous owner's minions are known and recovered."""
        return self.recovered and self._minions_known

    @property
    def claims_closed(self) -> bool:
        """Return whether an orphaned run that is found now is stopped at once."""
        return self.recovered or self._claims_closed

    def record_listed(self) -> None:
        """Record that the list of minions has been read."""
        self._listed.set()

    async def recover(self) -> None:
        """Wait until the runs on every minion are known, or the timeout has passed."""
        await self._listed.wait()
        deadline = self._clock.monotonic() + self._timing.recovery_timeout
        while not self._all_runs_known:
            if self._clock.monotonic() >= deadline and not self._all_reached:
                break
            await self._clock.sleep(_POLL_INTERVAL)
        self._recovered.set()
        self._resolve_claims()

    async def stop_orphans(self) -> None:
        """Stop orphaned runs after their timeout, even if no minion list can be read.

        Their caller may send the job again to another data centre, where the same tasks
        would run beside them. An early stop serves the leases of other runs on the
        minion; where there are none, the orphaned runs may be claimed for longer.
        """
        timing = self._timing
        now = self._clock.monotonic()
        expiry = self._last_contact + timing.orphan_lifetime - timing.stop_lead
        left = max(self._min_claim_time(now), expiry - now)
        with anyio.move_on_after(left.total_seconds()) as scope:
            with anyio.move_on_after(timing.recovery_timeout.total_seconds()):
                await self._recovered.wait()
            await self._clock.sleep(timing.orphan_timeout)
        last_claim = self._last_contact + timing.orphan_lifetime - timing.call_timeout
        while scope.cancelled_caught and self._clock.monotonic() < last_claim:
            self._stop_unclaimed(lambda minion: minion.has_tasks)
            await self._clock.sleep(_POLL_INTERVAL)
        # A stop at the last moment would only let a run outlive its lease.
        lease_end = self._last_contact + timing.orphan_lifetime
        now = self._clock.monotonic()
        if last_claim <= now < lease_end:
            await self._clock.sleep(lease_end - now + _POLL_INTERVAL)
        self._claims_closed = True
        self._stop_unclaimed(lambda _: True)

    def _min_claim_time(self, now: timedelta) -> timedelta:
        """Return the time for claims, less if a stop would come too late after it."""
        timing = self._timing
        last_stop = self._last_contact + timing.orphan_lifetime - timing.last_stop_lead
        left = last_stop - now
        if left < timing.quick_claim_time:
            return timing.min_claim_time
        return min(left, timing.min_claim_time)

    def _stop_unclaimed(self, on: Callable[[Minion], bool]) -> None:
        """Stop the orphaned runs on each minion for which `on` returns True."""
        orphans = [
            (session, record)
            for session in self._roster.sessions
            if on(session.minion)
            for record in session.minion.runs.values()
            if record.task is None and record.state is RunState.ACTIVE
        ]
        if orphans:
            contact_age = self._clock.monotonic() - self._last_contact
            self._events.orphans_stopped(self._pool, len(orphans), contact_age)
        for session, record in orphans:
            session.stop(record)

    def resolve_claim(self, task: PoolTask) -> bool:
        """Queue a claimed task that is known to run nowhere; return whether it was.

        Any other task is returned with an unknown outcome, as it may still run on a
        minion that only the previous owner reaches or has in its list.
        """
        if self._minions_known and self._all_runs_known:
            self._tasks.queue(task)
            return True
        self._tasks.give_up(task)
        return False

    def _resolve_claims(self) -> None:
        claimed = [
            task
            for step in self._tasks.steps
            for task in step.tasks.values()
            if task.phase is TaskPhase.CLAIMED
        ]
        queued = sum(self.resolve_claim(task) for task in claimed)
        minions = self._roster.minions
        unreached = sum(minion.reach is Reachability.UNPROBED for minion in minions)
        given_up = len(claimed) - queued
        self._events.recovered(self._pool, len(minions), unreached, queued, given_up)

    @property
    def _all_reached(self) -> bool:
        """Return whether every minion has answered a call under this owner's token."""
        return all(m.reach is not Reachability.UNPROBED for m in self._roster.minions)

    @property
    def _all_runs_known(self) -> bool:
        """Return whether all runs that may be active on the minions are known."""
        now = self._clock.monotonic()
        return all(minion.runs_known(now) for minion in self._roster.minions)


__all__ = ["Recovery"]
