"""Recover after a failover: learn what the minions run, and resolve claimed tasks."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

import anyio

from brasstray.pool.minion import Reachability
from brasstray.pool.pool_task import TaskPhase

if TYPE_CHECKING:
    from brasstray.batch.ids import PoolId
    from brasstray.clock.clock import Clock
    from brasstray.pool.owner_events import OwnerEvents
    from brasstray.pool.pool_task import PoolTask
    from brasstray.pool.roster import Roster
    from brasstray.pool.task_registry import TaskRegistry
    from brasstray.pool.timing import PoolTiming

_POLL_INTERVAL = timedelta(milliseconds=5)


class Recovery:
    """Find the runs of the previous owner, for as long as the timing allows.

    `minions_known` tells whether the previous owner has reported its minions. Nothing
    may start before the recovery: it might run already.
    """

    def __init__(
        self,
        pool: PoolId,
        tasks: TaskRegistry,
        roster: Roster,
        clock: Clock,
        timing: PoolTiming,
        events: OwnerEvents,
        *,
        minions_known: bool,
    ) -> None:
        self._pool = pool
        self._tasks = tasks
        self._roster = roster
        self._clock = clock
        self._timing = timing
        self._events = events
        self._minions_known = minions_known
        self._listed = anyio.Event()
        self._recovered = anyio.Event()
        self._claims_closed = False

    @property
    def recovered(self) -> bool:
        """Return whether it is known what the minions run."""
        return self._recovered.is_set()

    @property
    def claims_closed(self) -> bool:
        """Return whether an orphaned run that is found now is stopped."""
        return self.recovered or self._claims_closed

    def record_listed(self) -> None:
        """Record that the list of minions has been read."""
        self._listed.set()

    async def recover(self) -> None:
        """Wait until every minion has reported its runs, or had time to."""
        await self._listed.wait()
        deadline = self._clock.monotonic() + self._timing.recovery_timeout
        while not self._all_runs_known:
            if self._clock.monotonic() >= deadline and not self._all_reached:
                break
            await self._clock.sleep(_POLL_INTERVAL)
        self._recovered.set()
        self._resolve_claims()

    async def stop_orphans(self) -> None:
        """Stop orphaned runs, whether or not the list of minions can be read.

        Their caller may send the job again to another data centre, where the same tasks
        would run beside them.
        """
        with anyio.move_on_after(self._timing.recovery_timeout.total_seconds()):
            await self._recovered.wait()
        await self._clock.sleep(self._timing.orphan_timeout)
        self._claims_closed = True
        for session in self._roster.sessions:
            for record in list(session.minion.runs.values()):
                if record.task is None:
                    session.stop(record)

    def resolve_claim(self, task: PoolTask) -> bool:
        """Queue a claimed task that is known to run nowhere; else return it.

        Return whether it was queued. The task may still run on a minion that only the
        previous owner reaches, or that only its list names: its outcome is unknown.
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
        """Return whether every minion has been asked under this owner's token."""
        return all(m.reach is not Reachability.UNPROBED for m in self._roster.minions)

    @property
    def _all_runs_known(self) -> bool:
        """Return whether everything that may be active on the minions is known."""
        now = self._clock.monotonic()
        return all(minion.runs_known(now) for minion in self._roster.minions)


__all__ = ["Recovery"]
