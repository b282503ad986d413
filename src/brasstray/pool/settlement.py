"""Learn after a takeover what the minions run, and what becomes of claimed tasks."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

import anyio

from brasstray.pool.minion import Reach
from brasstray.pool.pool_task import TaskPhase

if TYPE_CHECKING:
    from brasstray.batch.ids import PoolId
    from brasstray.clock.clock import Clock
    from brasstray.pool.owner_events import OwnerEvents
    from brasstray.pool.pool_task import PoolTask
    from brasstray.pool.roster import Roster
    from brasstray.pool.task_book import TaskBook
    from brasstray.pool.timing import PoolTiming

# How often it is looked whether everything is known: a small part of what a new owner
# waits for its minions.
_STEP = timedelta(milliseconds=5)


class Settlement:
    """Wait for what an earlier owner left, for as long as the timing allows.

    `minions_told` says whether the earlier owner has told which minions it held. Before
    the settlement nothing may start: it might run already.
    """

    def __init__(
        self,
        pool: PoolId,
        book: TaskBook,
        roster: Roster,
        clock: Clock,
        timing: PoolTiming,
        events: OwnerEvents,
        *,
        minions_told: bool,
    ) -> None:
        self._pool = pool
        self._book = book
        self._roster = roster
        self._clock = clock
        self._timing = timing
        self._events = events
        self._minions_told = minions_told
        self._listed = anyio.Event()
        self._settled = anyio.Event()
        self._patience_over = False

    @property
    def settled(self) -> bool:
        """Tell whether it is known what the minions run."""
        return self._settled.is_set()

    @property
    def claims_over(self) -> bool:
        """Tell whether a run that is found now, and nobody has claimed, is stopped."""
        return self.settled or self._patience_over

    def note_listed(self) -> None:
        """Take note that the list of minions has been read."""
        self._listed.set()

    async def settle(self) -> None:
        """Wait until every minion has told what it runs, or had time to."""
        await self._listed.wait()
        deadline = self._clock.monotonic() + self._timing.settle_patience
        while not self._all_known:
            if self._clock.monotonic() >= deadline and not self._all_reached:
                break
            await self._clock.sleep(_STEP)
        self._settled.set()
        self._settle_claims()

    async def stop_unclaimed_in_time(self) -> None:
        """Stop the runs of an earlier owner that nobody claims.

        Guards against a run beside the same job sent again to another data centre: its
        time counts from the takeover, whether or not the list of minions can be read.
        """
        with anyio.move_on_after(self._timing.settle_patience.total_seconds()):
            await self._settled.wait()
        await self._clock.sleep(self._timing.orphan_patience)
        self._patience_over = True
        for session in self._roster.sessions:
            for record in list(session.minion.runs.values()):
                if record.task is None:
                    session.stop(record)

    def settle_claim(self, task: PoolTask) -> bool:
        """Queue a claimed task that is known to run nowhere; else give it back.

        Return whether it was queued. Guards against a second run beside one that goes
        on where this owner does not reach and an earlier one may: nobody can tell, so
        the job is given up. Without the last owner's list of minions nobody can tell
        either.
        """
        if self._minions_told and self._all_known:
            self._book.queue(task)
            return True
        self._book.give_up(task)
        return False

    def _settle_claims(self) -> None:
        claimed = [
            task
            for step in self._book.steps
            for task in step.tasks.values()
            if task.phase is TaskPhase.CLAIMED
        ]
        queued = sum(self.settle_claim(task) for task in claimed)
        minions = self._roster.minions
        unreached = sum(minion.reach is Reach.UNPROBED for minion in minions)
        given_up = len(claimed) - queued
        self._events.settled(self._pool, len(minions), unreached, queued, given_up)

    @property
    def _all_reached(self) -> bool:
        """Tell whether every minion has been asked under this owner's token."""
        return all(m.reach is not Reach.UNPROBED for m in self._roster.minions)

    @property
    def _all_known(self) -> bool:
        """Tell whether everything that may be at work on the minions is known."""
        now = self._clock.monotonic()
        return all(minion.is_known(now) for minion in self._roster.minions)


__all__ = ["Settlement"]
