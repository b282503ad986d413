"""Run tasks on the minions of one pool, as the only one who may."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

import anyio

from brasstray.batch.ids import RunNumber
from brasstray.batch.resources import Resources
from brasstray.batch.task_name import TaskName
from brasstray.pool.durations import Durations
from brasstray.pool.errors import StartRefusal
from brasstray.pool.load_sharing import LoadSharing
from brasstray.pool.look import RunEnd
from brasstray.pool.loop_lag import LoopLag
from brasstray.pool.minion import Minion, Reach
from brasstray.pool.minion_health import Evidence
from brasstray.pool.minion_session import FIRST_CALLS_AT_ONCE, MinionSession
from brasstray.pool.placement import choose_minion, urgency
from brasstray.pool.pool_task import PoolTask, TaskPhase
from brasstray.pool.run_record import RunRecord, RunState
from brasstray.pool.straggling import SIBLINGS_PATIENCE, pace, straggles
from brasstray.pool.task_book import TaskBook

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterable

    from anyio.abc import TaskGroup

    from brasstray.batch.ids import BatchId, FencingToken, PoolId
    from brasstray.clock.clock import Clock
    from brasstray.job.ids import MinionId
    from brasstray.peer.message.run_tasks import RunTasks
    from brasstray.pool.look import ActiveRun, EndedRun
    from brasstray.pool.minion_calls import MinionCalls
    from brasstray.pool.minion_entry import MinionEntry
    from brasstray.pool.other_pools import OtherPools
    from brasstray.pool.owner_events import OwnerEvents
    from brasstray.pool.pool_load import PoolLoad
    from brasstray.pool.requester import Requester
    from brasstray.pool.step_tasks import StepTasks
    from brasstray.pool.timing import PoolTiming

_MILLISECOND = timedelta(milliseconds=1)
# Runs of one task must be numbered upwards, also by an owner that knows nothing of
# earlier ones: after a refusal for this reason it goes on this much higher.
RUN_NUMBER_LEAP = 1_000
# A task that has failed on so many minions is at fault itself: with a tenth of them
# bad, a sound one meets two bad ones in a row once in a hundred times.
MINIONS_THAT_ABSOLVE = 2
# How often waiting tasks are looked at for what time alone changes: a suspension that
# ends, a job that has become hopeless.
TIME_STEP = timedelta(milliseconds=20)


class PoolOwner:
    """Hold the book of a pool while its fencing token is the highest.

    Every decision is taken without waiting; sessions do what takes time.
    """

    def __init__(
        self,
        pool: PoolId,
        token: FencingToken,
        calls: MinionCalls,
        clock: Clock,
        timing: PoolTiming,
        remote_factor: float,
        others: OtherPools,
        events: OwnerEvents,
        confirm: Callable[[], Awaitable[bool]],
        inherited: Iterable[MinionEntry] | None,
    ) -> None:
        self._pool = pool
        self._token = token
        self._calls = calls
        self._clock = clock
        self._timing = timing
        self._events = events
        self._confirm = confirm
        self._inherited = None if inherited is None else list(inherited)
        self._durations = Durations(remote_factor)
        self._sessions: dict[MinionId, MinionSession] = {}
        self._missing_since: dict[MinionId, timedelta] = {}
        self._book = TaskBook(clock, events)
        self._sharing = LoadSharing(
            self._book, lambda: self.minions, self._durations, others, clock, events
        )
        self._lag = LoopLag()
        self._first_calls = anyio.Semaphore(FIRST_CALLS_AT_ONCE)
        self._group: TaskGroup | None = None
        self._listed = anyio.Event()
        self._settled = False
        self._deposed = anyio.Event()

    @property
    def pool(self) -> PoolId:
        """Return the pool that is owned."""
        return self._pool

    @property
    def token(self) -> FencingToken:
        """Return the fencing token that orders carry."""
        return self._token

    @property
    def events(self) -> OwnerEvents:
        """Return who is told of decisions."""
        return self._events

    @property
    def settled(self) -> bool:
        """Tell whether it is known what the minions run."""
        return self._settled

    @property
    def deposed(self) -> bool:
        """Tell whether a minion has seen a higher token."""
        return self._deposed.is_set()

    @property
    def minions(self) -> list[Minion]:
        """Return the minions known."""
        return [session.minion for session in self._sessions.values()]

    async def run(self) -> None:
        """Own the pool until deposed or cancelled."""
        async with anyio.create_task_group() as group:
            self._group = group
            self._add_inherited()
            group.start_soon(self._settle)
            group.start_soon(self._watch_time)
            try:
                await self._deposed.wait()
            finally:
                # Guards against orders after the end: messages and callers that end
                # still reach this object for a moment, and it must not act any more.
                self._deposed.set()
                group.cancel_scope.cancel()

    def depose(self) -> None:
        """Stop owning: another holder of the pool has been seen."""
        self._deposed.set()

    # Membership

    def list_minions(self, entries: Iterable[MinionEntry]) -> None:
        """Take the minions that the store lists for this pool."""
        now = self._clock.monotonic()
        listed = {entry.id: entry for entry in entries}
        for minion_id, entry in listed.items():
            session = self._sessions.get(minion_id)
            if session is None:
                self._add(entry)
            else:
                session.minion.entry = entry
            self._missing_since.pop(minion_id, None)
        for minion_id in list(self._sessions):
            if minion_id not in listed:
                since = self._missing_since.setdefault(minion_id, now)
                # Guards against entries that lapse while the store is away though
                # their minions live: they are back soon after the store is.
                if now - since > self._timing.missing_grace:
                    self._remove(minion_id)
        self._listed.set()
        self.dispatch()

    def _add_inherited(self) -> None:
        """Take the minions that the last owner held.

        Guards against a list from which the entries of living minions have lapsed, as
        after a cut: what runs there would be started again elsewhere.
        """
        now = self._clock.monotonic()
        for entry in self._inherited or ():
            self._add(entry)
            self._missing_since[entry.id] = now

    def _add(self, entry: MinionEntry) -> None:
        assert self._group is not None
        session = MinionSession(
            self,
            Minion(entry),
            self._token,
            self._calls,
            self._clock,
            self._timing,
            self._group,
            self._lag,
            self._first_calls,
        )
        self._sessions[entry.id] = session
        self._group.start_soon(session.run)

    def _remove(self, minion_id: MinionId) -> None:
        session = self._sessions[minion_id]
        if session.minion.runs and session.minion.reach is Reach.HELD:
            return
        self.lose_minion(session.minion, gone=True)
        session.end()
        del self._sessions[minion_id]
        del self._missing_since[minion_id]
        self._durations.forget(minion_id)

    async def _settle(self) -> None:
        """Wait until every minion has told what it runs, or had time to."""
        await self._listed.wait()
        deadline = self._clock.monotonic() + self._timing.settle_patience
        while self._clock.monotonic() < deadline:
            if all(m.reach is not Reach.NEW for m in self.minions):
                break
            await self._clock.sleep(5 * _MILLISECOND)
        # Without the last owner's list nobody can say that a claimed task runs nowhere.
        out_of_reach = self._inherited is None or any(
            m.reach is Reach.NEW for m in self.minions
        )
        self._settled = True
        for step in self._book.steps:
            self._settle_claims(step, out_of_reach)
        self.dispatch()
        await self._clock.sleep(self._timing.orphan_patience)
        self._stop_unclaimed()

    def _settle_claims(self, step: StepTasks, out_of_reach: bool) -> None:
        """Queue claimed tasks that run nowhere; give back those that may."""
        claimed = [t for t in step.tasks.values() if t.phase is TaskPhase.CLAIMED]
        if not claimed:
            return
        if not out_of_reach:
            for task in claimed:
                self._book.queue(task)
            return
        # Guards against a second run beside one that goes on where this owner does
        # not reach and an earlier one may: nobody can tell, so the job is given up.
        for task in claimed:
            self._book.give_up(task)

    def _stop_unclaimed(self) -> None:
        for session in self._sessions.values():
            for record in list(session.minion.runs.values()):
                if record.task is None:
                    session.stop(record)

    async def _watch_time(self) -> None:
        while True:
            due = self._clock.monotonic() + TIME_STEP
            await self._clock.sleep(TIME_STEP)
            self._lag.note(self._clock.monotonic() - due)
            self._book.forget_old_ends()
            self.dispatch()

    # Requests

    def run_tasks(self, requester: Requester, message: RunTasks) -> None:
        """Take tasks, or claims to tasks that an earlier owner was given."""
        if self._deposed.is_set():
            return
        step = self._book.take(requester, message)
        for index in message.indices:
            self._take(step, index, claimed=message.claimed)
        self._sharing.weigh(step.needs)
        self._book.forget_if_empty(step)
        self.dispatch()

    def _take(self, step: StepTasks, index: int, *, claimed: bool) -> None:
        if index in step.tasks:
            return
        name = TaskName(step.batch, step.step, index)
        if claimed and self._book.recall(name) is RunEnd.DONE:
            self._book.tell_end(step, index, done=True)
            return
        task = PoolTask(name, step, TaskPhase.CLAIMED, RunNumber(0))
        step.tasks[index] = task
        found = self._run_of(name)
        if found is not None:
            self._adopt(*found, task)
        elif self._settled or not claimed:
            self._book.queue(task)

    def _run_of(self, name: TaskName) -> tuple[Minion, RunRecord] | None:
        """Return a run of the task that goes on, or else one that is being stopped.

        Guards against a second run beside one that is being stopped: on a minion out
        of reach it may go on for a whole lease. A requester that was silent for too
        long and asks again brings this about. The task waits until that run has ended.
        """
        runs = [
            (minion, record)
            for minion in self.minions
            for record in minion.runs.values()
            if record.name == name
        ]
        return min(
            runs, key=lambda run: run[1].state is RunState.STOPPING, default=None
        )

    def _adopt(self, minion: Minion, record: RunRecord, task: PoolTask) -> None:
        record.task = task
        minion.resize(record, task.of.needs)
        task.phase = TaskPhase.PLACED
        task.last_run = record.run
        task.of.begun = True

    def stop_tasks(self, requester: Requester, batch: BatchId) -> None:
        """Drop the waiting tasks of a job and stop its runs."""
        for step in self._book.steps:
            if step.batch == batch and step.requester is requester:
                self._drop(step, "not_wanted")
        self.dispatch()

    def lose_requester(self, requester: Requester) -> None:
        """Drop all that a requester asked for: it has been silent for too long."""
        for step in self._book.steps:
            if step.requester is requester:
                self._drop(step, "requester_silent")
        self.dispatch()

    def _drop(self, step: StepTasks, why: str) -> None:
        if self._deposed.is_set():
            return
        self._book.drop(step, why)
        for session in self._sessions.values():
            for record in list(session.minion.runs.values()):
                if record.task is not None and record.task.of is step:
                    record.task = None
                    session.stop(record)

    # Dispatch

    def load(self) -> PoolLoad:
        """Return the room, and the wait for a task that came now."""
        return self._sharing.load()

    def dispatch(self) -> None:
        """Start what there is room for, and pass on or give back what has to wait."""
        if not self._settled or self._deposed.is_set():
            return
        waiting = [step for step in self._book.steps if step.waiting]
        if not waiting:
            return
        now = self._clock.monotonic()
        waiting.sort(
            key=lambda step: urgency(
                step, self._durations.expected(step, None, ()), now
            )
        )
        minions = self.minions
        for step in waiting:
            self._start_some(step, minions, now)
        self._sharing.pass_on([step for step in waiting if step.waiting], now)

    def _start_some(
        self, step: StepTasks, minions: list[Minion], now: timedelta
    ) -> None:
        while step.waiting:
            task = step.waiting[0]
            minion = choose_minion(task, minions, self._durations, now)
            if minion is None:
                return
            step.waiting.pop(0)
            self._place(task, minion, now)

    def _place(self, task: PoolTask, minion: Minion, now: timedelta) -> None:
        step, entry = task.of, minion.entry
        task.phase = TaskPhase.PLACED
        task.last_run = RunNumber(task.last_run + 1)
        expected = self._durations.expected(step, entry.id, entry.labels)
        record = RunRecord(
            task.name,
            task.last_run,
            step.needs,
            now,
            expected,
            RunState.STARTING,
            task,
        )
        step.begun = True
        minion.add(record)
        self._events.started(minion, record, now - step.arrived)
        self._sessions[entry.id].start(record, step.spec)

    # What minions tell

    def see(
        self,
        minion: Minion,
        active: tuple[ActiveRun, ...],
        ended: tuple[EndedRun, ...],
    ) -> None:
        """Take what `minion` tells of its runs."""
        for end in ended:
            record = minion.runs.get((end.task, end.run))
            if record is None:
                self._note_unowned_end(end.task, end.end)
            else:
                self._end(minion, record, end.end)
        for run in active:
            self._see_active(minion, run)
        now = self._clock.monotonic()
        for record in list(minion.runs.values()):
            self._judge_pace(minion, record, now)
        if ended:
            self.dispatch()

    def _see_active(self, minion: Minion, run: ActiveRun) -> None:
        record = minion.runs.get((run.task, run.run))
        if record is None and minion.has_ended(run.task, run.run):
            return
        if record is None:
            record = RunRecord(
                run.task,
                run.run,
                Resources(),
                self._clock.monotonic(),
                timedelta(0),
                RunState.ACTIVE,
                None,
                size_known=False,
            )
            minion.add(record)
            task = self._book.find(run.task)
            if task is not None and task.phase is TaskPhase.CLAIMED:
                self._adopt(minion, record, task)
            elif self._settled:
                self._sessions[minion.entry.id].stop(record)
            return
        record.percent = run.percent
        if record.state in (RunState.STARTING, RunState.UNSETTLED):
            record.state = RunState.ACTIVE

    def _judge_pace(self, minion: Minion, record: RunRecord, now: timedelta) -> None:
        task = record.task
        if task is None or record.state is not RunState.ACTIVE or not record.expected:
            return
        step, where = task.of, minion.entry.id
        siblings = step.pace_elsewhere(where)
        step.paces[where] = pace(record, now)
        if siblings is None and self._siblings_untold(record, now):
            return
        # A task is restarted for its pace once only: if it is as slow elsewhere, it is
        # the task that is long and not the minions that are slow.
        if task.straggled or not straggles(record, now, siblings):
            return
        task.straggled = True
        if not minion.health.suspected:
            minion.health.suspend(now)
            self._events.suspected(minion, Evidence.STRAGGLING)
        # The run is stopped, and its task waits until the end is listed: two runs of
        # it must never be at work at the same time.
        task.avoided.add(where)
        self._sessions[where].stop(record)

    def _siblings_untold(self, record: RunRecord, now: timedelta) -> bool:
        """Tell whether tasks of the same step elsewhere will soon show their pace."""
        if now - record.began > SIBLINGS_PATIENCE:
            return False
        assert record.task is not None
        return sum(m.has_task_of(record.task.of) for m in self.minions) > 1

    def _end(self, minion: Minion, record: RunRecord, end: RunEnd) -> None:
        minion.remove(record)
        self._events.ended(minion, record, end)
        task = record.task
        now = self._clock.monotonic()
        if end is RunEnd.DONE and minion.health.end_well():
            self._events.trusted(minion)
        if task is None:
            self._note_unowned_end(record.name, end)
            return
        step = task.of
        if end is RunEnd.DONE:
            if record.expected:
                took = now - record.began
                step.paces[minion.entry.id] = took / record.expected
                self._durations.learn(step, minion.entry.id, record.expected, took)
            self._book.finish(task, done=True)
        elif end is RunEnd.FAILED:
            self._fail(minion, task, now)
        else:
            self._book.queue(task)

    def _fail(self, minion: Minion, task: PoolTask, now: timedelta) -> None:
        if minion.health.fail(task.name.batch, now):
            self._events.suspected(minion, Evidence.FAILURES)
        task.failures += 1
        task.avoided.add(minion.entry.id)
        if task.failures >= task.of.attempts:
            self._absolve_minions(task)
            self._book.finish(task, done=False)
        else:
            self._book.queue(task)

    def _absolve_minions(self, task: PoolTask) -> None:
        """Hold a job that failed on several minions against none of them."""
        failed_on = [m for m in self.minions if m.entry.id in task.avoided]
        if len(failed_on) < MINIONS_THAT_ABSOLVE:
            return
        for minion in failed_on:
            if minion.health.absolve(task.name.batch):
                self._events.trusted(minion)

    def _note_unowned_end(self, name: TaskName, end: RunEnd) -> None:
        """Keep the end of a run without a task, or end the task that claims it."""
        self._book.remember(name, end)
        task = self._book.find(name)
        if task is None or task.phase is not TaskPhase.CLAIMED:
            return
        if end is RunEnd.DONE:
            self._book.finish(task, done=True)
        elif self._settled:
            self._book.queue(task)

    def take_refusal(
        self, minion: Minion, record: RunRecord, refusal: StartRefusal
    ) -> None:
        """Take back a run that `minion` has not started."""
        if not minion.remove(record):
            return
        self._events.refused(minion, record, refusal)
        task = record.task
        now = self._clock.monotonic()
        if refusal is StartRefusal.UNHEALTHY:
            minion.health.suspend(now)
            self._events.suspected(minion, Evidence.UNHEALTHY)
        if task is None:
            return
        match refusal:
            case StartRefusal.STALE_RUN:
                task.last_run = RunNumber(task.last_run + RUN_NUMBER_LEAP)
            case StartRefusal.MALFORMED:
                task.failures += 1
                if task.failures >= task.of.attempts:
                    self._book.finish(task, done=False)
                    return
            case _:
                task.avoided.add(minion.entry.id)
        self._book.queue(task)
        self.dispatch()

    def settle_stopped(self, minion: Minion, record: RunRecord) -> None:
        """Take note that `record` was stopped and lists no end, so it never ran."""
        if minion.remove(record):
            self._events.ended(minion, record, RunEnd.STOPPED)
            if record.task is not None:
                self._book.queue(record.task)
                self.dispatch()

    def reach_minion(self, minion: Minion) -> None:
        """Take note that `minion` came into reach or went out of it."""
        self._events.reach_changed(minion)
        self.dispatch()

    async def lapse_minion(self, minion: Minion) -> None:
        """Take note that every lease that this owner gave to `minion` is over.

        Guards against a successor that this owner has not heard of: it may have reached
        the minion and extended the lease of the runs there. Unless the store confirms,
        after the lapse, that nobody has taken the pool, their tasks are not started
        elsewhere but given back as in doubt.
        """
        if minion.runs and not await self._confirm():
            for record in list(minion.runs.values()):
                minion.remove(record)
                if record.task is not None:
                    self._book.give_up(record.task)
        self.lose_minion(minion, gone=False)

    def lose_minion(self, minion: Minion, *, gone: bool) -> None:
        """Take note that all runs on `minion` have ended for sure."""
        if gone:
            minion.reach = Reach.GONE
            self._events.reach_changed(minion)
        for record in list(minion.runs.values()):
            self._end(minion, record, RunEnd.LAPSED)
        self.dispatch()


__all__ = ["PoolOwner"]
