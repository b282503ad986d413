"""Run tasks on the minions of one pool, as its only owner."""

from __future__ import annotations

from dataclasses import replace
from datetime import timedelta
from typing import TYPE_CHECKING

import anyio

from brasstray.batch.ids import RunNumber
from brasstray.batch.limits import is_possible
from brasstray.batch.resources import Resources
from brasstray.batch.task_name import TaskName
from brasstray.peer.message.tasks_ended import TasksEnded
from brasstray.pool.contact_bound import ContactBound
from brasstray.pool.dispatcher import Dispatcher
from brasstray.pool.durations import Durations
from brasstray.pool.health_monitor import HealthMonitor
from brasstray.pool.load_sharing import LoadSharing
from brasstray.pool.loop_lag import LoopLag
from brasstray.pool.minion import Reachability
from brasstray.pool.minion_session import MAX_CONCURRENT_FIRST_CALLS, MinionSession
from brasstray.pool.pool_task import PoolTask, TaskPhase
from brasstray.pool.probe_reply import RunEnd
from brasstray.pool.recovery import Recovery
from brasstray.pool.roster import Roster
from brasstray.pool.run_record import RunState
from brasstray.pool.run_tracker import RunTracker
from brasstray.pool.step_error import StepError, attributed_to
from brasstray.pool.task_registry import TaskRegistry
from brasstray.pool.task_size import TaskSize

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Container, Iterable

    from anyio.abc import TaskGroup

    from brasstray.batch.ids import BatchId, FencingToken, PoolId
    from brasstray.clock.clock import Clock
    from brasstray.peer.message.run_tasks import RunTasks
    from brasstray.pool.errors import StartRefusal
    from brasstray.pool.incarnation import SeenIn
    from brasstray.pool.learned_values import LearnedValue, LearnedValues
    from brasstray.pool.lease_snapshot import LeaseSnapshot
    from brasstray.pool.minion import Minion
    from brasstray.pool.minion_calls import MinionCalls
    from brasstray.pool.minion_entry import MinionEntry
    from brasstray.pool.other_pools import OtherPools
    from brasstray.pool.owner_events import OwnerEvents
    from brasstray.pool.pool_load import PoolLoad
    from brasstray.pool.probe_reply import ActiveRun, EndedRun
    from brasstray.pool.requester import Requester
    from brasstray.pool.run_record import RunRecord
    from brasstray.pool.step_tasks import StepTasks
    from brasstray.pool.timing import PoolTiming

# Interval of the checks for what time alone changes: a minion's suspension ends, or a
# job can no longer meet its deadline.
CHECK_INTERVAL = timedelta(milliseconds=20)


class PoolOwner:
    """Own the tasks of a pool while its fencing token is the highest.

    All decisions are made without waiting; sessions make the calls that take time.
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
        confirm_ownership: Callable[[], Awaitable[bool]],
        inherited: Iterable[MinionEntry] | None,
        evacuated: Callable[[], bool] = lambda: False,
        contact_age: timedelta | None = None,
        check_suspension: Callable[[], None] = lambda: None,
        *,
        prioritize: bool = False,
    ) -> None:
        self._check_suspension = check_suspension
        self._pool = pool
        self._token = token
        self._calls = calls
        self._clock = clock
        self._timing = timing
        self._events = events
        self._confirm_ownership = confirm_ownership
        self._inherited = list(inherited or ())
        self._durations = Durations(remote_factor, clock.monotonic)
        self._roster = Roster(
            clock,
            timing,
            self._open_session,
            self._forget_minion,
            self._end_incarnation,
        )
        self._health_monitor = HealthMonitor(lambda: self.minions, events)
        self._tasks = TaskRegistry(clock, events)
        self._contact = ContactBound(
            contact_age,
            self._roster,
            self._tasks,
            clock,
            timing,
            lambda: self._recovery.minions_recovered,
        )
        self._recovery = Recovery(
            pool,
            self._tasks,
            self._roster,
            clock,
            timing,
            events,
            self._contact.inherited,
            minions_known=inherited is not None,
        )
        self._runs = RunTracker(
            self._tasks,
            self._health_monitor,
            self._durations,
            clock,
            events,
            lambda: self._recovery.claims_closed,
            lambda minion, record: self._roster.session(minion.entry.id).stop(record),
            self._contact.inherited,
            timing.stop_time,
        )
        self._task_size = TaskSize(clock.monotonic)
        self._sharing = LoadSharing(
            self._tasks,
            lambda: self.minions,
            self._durations,
            self._task_size,
            others,
            clock,
            events,
            evacuated,
            prioritize=prioritize,
        )
        self._lag = LoopLag()
        self._first_call_limiter = anyio.Semaphore(MAX_CONCURRENT_FIRST_CALLS)
        self._group: TaskGroup | None = None
        self._deposed = anyio.Event()
        self._dispatcher = Dispatcher(
            self._tasks,
            self._roster,
            self._durations,
            self._sharing,
            clock,
            timing,
            events,
            self._may_start,
            evacuated,
            self._fail_step,
        )

    @property
    def pool(self) -> PoolId:
        """Return the pool that is owned."""
        return self._pool

    @property
    def token(self) -> FencingToken:
        """Return the fencing token that calls to minions carry."""
        return self._token

    @property
    def events(self) -> OwnerEvents:
        """Return the receiver of this owner's decisions."""
        return self._events

    @property
    def recovered(self) -> bool:
        """Return whether the recovery after the takeover is over."""
        return self._recovery.recovered

    @property
    def deposed(self) -> bool:
        """Return whether a minion has seen a higher token."""
        return self._deposed.is_set()

    @property
    def contact_age(self) -> timedelta:
        """Return the age of the oldest last contact with the coordinator of a run."""
        return self._clock.monotonic() - self._contact.oldest

    @property
    def minions(self) -> list[Minion]:
        """Return the known minions."""
        return self._roster.minions

    async def run(self) -> None:
        """Own the pool until deposed or cancelled."""
        async with anyio.create_task_group() as group:
            self._group = group
            self._roster.inherit(self._inherited)
            group.start_soon(self._recover)
            group.start_soon(self._recovery.stop_orphans)
            group.start_soon(self._check_periodically)
            group.start_soon(self._dispatcher.run)
            try:
                await self._deposed.wait()
            finally:
                # Messages still reach this object for a moment, and must not make it
                # send calls under a superseded token.
                self._deposed.set()
                self._dispatcher.close()
                group.cancel_scope.cancel()

    def depose(self) -> None:
        """Stop owning the pool: call no minion any more, and accept no tasks."""
        self._deposed.set()

    def may_act(self) -> bool:
        """Return whether this owner may still start, accept and reject tasks.

        A host that was suspended deposes its owner in the check. The cancellation of
        the owner's tasks comes too late: it does not reach one whose wait is over.
        """
        self._check_suspension()
        return not self._deposed.is_set()

    # Learned values

    @property
    def learned(self) -> LearnedValues:
        """Return what this owner has learned or adopted."""
        return replace(self._durations.learned, sizes=self._task_size.learned)

    def adopt(self, values: LearnedValues) -> None:
        """Start from what earlier owners learned; call this before `run`."""
        self._durations.adopt(values)
        self._task_size.adopt(values.sizes)

    def adopt_remote(self, values: LearnedValues) -> list[LearnedValue]:
        """Use what other data centres learned where little is known here; return it."""
        used = self._durations.adopt_remote(values.queues)
        return used + self._task_size.adopt_remote(values.sizes)

    # Membership

    def update_minions(self, entries: Iterable[MinionEntry]) -> None:
        """Update the minions from the store's list for this pool."""
        self._roster.update(entries)
        self._recovery.record_listed()
        self.dispatch()

    def handle_restart(self, minion: Minion, born: int) -> None:
        """Handle a reply of a later incarnation to a call to `minion`."""
        self._roster.restart(minion, born)

    def _end_incarnation(self, before: Minion, after: Minion, seen_in: SeenIn) -> None:
        ended, open_runs = self._runs.end_incarnation(before, after)
        for record in ended:
            self._adopt_other_run(record.task)
        self._durations.forget(before.entry.key)
        before.reach = Reachability.GONE
        self._events.restarted(before, after, seen_in, len(ended), len(open_runs))
        self.dispatch()

    def _adopt_other_run(self, task: PoolTask | None) -> None:
        """Keep to a run that a replaced owner may have started elsewhere meanwhile.

        That owner may have seen the minion start again while this one could not.
        """
        if task is None or task.phase is not TaskPhase.WAITING:
            return
        found = self._find_run(task.name)
        if found is not None:
            self._tasks.unqueue(task)
            minion, record = found
            minion.adopt(record, task)

    def _open_session(
        self, minion: Minion, earlier: MinionSession | None
    ) -> MinionSession:
        assert self._group is not None
        session = MinionSession(
            self,
            minion,
            self._token,
            self._calls,
            self._clock,
            self._timing,
            self._group,
            self._lag,
            self._first_call_limiter,
        )
        if earlier is not None:
            session.inherit_late_starts(earlier)
        self._group.start_soon(session.run)
        return session

    def _forget_minion(self, minion: Minion) -> None:
        self.end_runs_on(minion)
        self._durations.forget(minion.entry.key)

    async def _recover(self) -> None:
        await self._recovery.recover()
        self.dispatch()

    async def _check_periodically(self) -> None:
        while True:
            due = self._clock.monotonic() + CHECK_INTERVAL
            await self._clock.sleep(CHECK_INTERVAL)
            self._lag.observe(self._clock.monotonic() - due)
            self._tasks.forget_old_ends()
            if any(step.waiting for step in self._tasks.steps):
                self.review()

    # Requests

    def run_tasks(self, requester: Requester, message: RunTasks) -> None:
        """Accept tasks, or claims to tasks that a previous owner was given."""
        if not self.may_act():
            return
        needs = Resources(message.cpu_millis, message.memory_mb, message.gpus)
        if not is_possible(needs):
            # The coordinator may be of a version that does not check this.
            self._events.step_failed(message.batch, message.step, None, str(needs))
            self._report_failed(requester, message.batch, message.step, message.indices)
            return
        step = self._tasks.get_or_add(requester, message)
        try:
            with attributed_to(step):
                self._accept_tasks(step, message)
        except StepError as error:
            self._fail_step(error)

    def _accept_tasks(self, step: StepTasks, message: RunTasks) -> None:
        for index in message.indices:
            self._accept_task(step, index, claimed=message.claimed)
        if message.claimed:
            for session in self._roster.sessions:
                session.renew_if_unlimited()
        self._sharing.observe_demand(step, message)
        self._tasks.forget_if_empty(step)
        self.review()

    def _fail_step(self, error: StepError) -> None:
        """Fail the tasks of a step, as handling it raised an error.

        The step would raise it again at each review, here and wherever else it was
        sent, so its job ends, and all others go on.
        """
        if self._deposed.is_set():
            return
        step, cause = error.step, error.__cause__
        self._events.step_failed(step.batch, step.step, cause, repr(cause))
        failed = tuple(step.tasks)
        if self._tasks.has(step):
            self._drop_all([step], "error")
        self._report_failed(step.requester, step.batch, step.step, failed)
        self.dispatch()

    def _report_failed(
        self, requester: Requester, batch: BatchId, step: int, indices: tuple[int, ...]
    ) -> None:
        requester.send(TasksEnded(batch=batch, step=step, done=(), failed=indices))

    def _accept_task(self, step: StepTasks, index: int, *, claimed: bool) -> None:
        if index in step.tasks:
            return
        name = TaskName(step.batch, step.step, index)
        recent_end = self._tasks.recent_end(name) if claimed else None
        if recent_end is RunEnd.DONE:
            self._tasks.report_end(step, index, done=True)
            return
        task = PoolTask(name, step, TaskPhase.CLAIMED, RunNumber(0))
        step.tasks[index] = task
        found = self._find_run(name)
        if found is not None:
            minion, record = found
            minion.adopt(record, task)
        elif not claimed:
            self._tasks.queue(task)
        elif recent_end is RunEnd.UNKNOWN:
            self._tasks.give_up(task)
        elif self.recovered:
            self._recovery.resolve_claim(task)

    def _find_run(self, name: TaskName) -> tuple[Minion, RunRecord] | None:
        """Return an active run of the task, or else one that is being stopped.

        A requester that was silent for too long may ask again while its runs are being
        stopped, which takes a whole lease on an unreachable minion. The task waits
        until that run has ended.
        """
        runs = [
            (minion, record)
            for minion in self.minions
            if minion.has_run_of(name)
            for record in minion.runs.values()
            if record.name == name
        ]
        return min(
            runs, key=lambda run: run[1].state is RunState.STOPPING, default=None
        )

    def stop_tasks(self, requester: Requester, batch: BatchId) -> None:
        """Drop the waiting tasks of a job and stop its runs."""
        self._drop_all(
            [
                step
                for step in self._tasks.steps
                if step.batch == batch and step.requester is requester
            ],
            "not_wanted",
        )

    def drop_requester(self, requester: Requester) -> None:
        """Drop the tasks of a requester that has been silent for too long."""
        steps = [s for s in self._tasks.steps if s.requester is requester]
        self._drop_all(steps, "requester_silent")

    def _drop_all(self, steps: list[StepTasks], reason: str) -> None:
        """Drop `steps` and stop their runs, which are sought once for all of them."""
        if steps and not self._deposed.is_set():
            for step in steps:
                self._tasks.drop(step, reason)
            dropped = set(steps)
            for session in self._roster.sessions:
                for record in list(session.minion.runs.values()):
                    if record.task and record.task.parent_step in dropped:
                        record.abandon()
                        session.stop(record)
        self.dispatch()

    # Dispatch

    def load(self) -> PoolLoad:
        """Return the free slots and the expected wait of a new task."""
        return self._dispatcher.load()

    def review(self) -> None:
        """Schedule a dispatch that also forwards or rejects tasks that have to wait."""
        self._dispatcher.review()

    def dispatch(self) -> None:
        """Schedule the start of waiting tasks where capacity is free."""
        self._dispatcher.wake()

    def settle_start(self) -> None:
        """Record that a start has a response, or has none in time."""
        self._dispatcher.settle_start()

    async def wait_for_change(self) -> None:
        """Wait until the load may have changed since the last call."""
        await self._dispatcher.wait_for_change()

    def _may_start(self) -> bool:
        return self.recovered and self.may_act()

    # Reports from minions

    def apply_report(
        self,
        minion: Minion,
        active: tuple[ActiveRun, ...],
        ended: tuple[EndedRun, ...],
        sent: timedelta | None = None,
    ) -> None:
        """Apply a report of `minion` on its runs.

        `sent` is when it was requested, or None if it may leave out runs.
        """
        if self._runs.apply_report(minion, active, ended, sent):
            self.dispatch()

    def handle_refusal(
        self, minion: Minion, record: RunRecord, refusal: StartRefusal
    ) -> None:
        """Handle a start that `minion` has refused."""
        self._runs.apply_refusal(minion, record, refusal)
        self.dispatch()

    def record_stop_without_end(self, minion: Minion, record: RunRecord) -> None:
        """Record that a stopped run is listed neither as active nor as ended."""
        self._runs.record_stop_without_end(minion, record)
        self.dispatch()

    def record_reachability(self, minion: Minion) -> None:
        """Record that `minion` became reachable or unreachable."""
        self._events.reach_changed(minion)
        self.dispatch()

    def handle_return(self, minion: Minion, silent: timedelta) -> None:
        """Record that `minion` answers again after it was silent for `silent`."""
        self._health_monitor.record_return(minion, silent, self._clock.monotonic())

    async def confirm_ownership(self) -> bool:
        """Return whether the store confirms that this owner still has the pool.

        A successor unknown to this owner may reach a minion that is unreachable from
        here, and renew the leases on it.
        """
        return await self._confirm_ownership()

    def expire_runs_on(
        self,
        minion: Minion,
        lease_snapshot: LeaseSnapshot,
        expired: Container[tuple[TaskName, RunNumber]],
        *,
        certain: bool,
    ) -> None:
        """Record that the runs in `expired` have ended on `minion`, without a report.

        Unless that is `certain`, no task there is started elsewhere, but all are
        returned with an unknown outcome.
        """
        self._events.leases_expired(minion, lease_snapshot, certain=certain)
        if certain:
            self._end_runs(minion, expired)
        else:
            self._runs.give_up_all(minion)
        self.dispatch()

    def end_runs_on(self, minion: Minion) -> None:
        """Record that `minion` is gone, and all its runs with it."""
        minion.reach = Reachability.GONE
        self._events.reach_changed(minion)
        self._end_runs(minion, set(minion.runs))
        self.dispatch()

    def _end_runs(
        self, minion: Minion, keys: Container[tuple[TaskName, RunNumber]]
    ) -> None:
        ended = self._runs.expire(minion, keys)
        if minion.entry.born is not None:
            for record in ended:
                self._adopt_other_run(record.task)


__all__ = ["PoolOwner"]
