"""Maintain the owner's lease on one minion, and start and stop its runs."""

from __future__ import annotations

from contextlib import suppress
from datetime import timedelta
from typing import TYPE_CHECKING, NoReturn

import anyio

from brasstray.pool.errors import (
    FencedError,
    MinionGoneError,
    MinionNoResponseError,
    MinionRestartedError,
    OwnerDeposedError,
    StartRefusedError,
)
from brasstray.pool.incarnation import Incarnation, classify_reply
from brasstray.pool.lease_clock import MAX_EFFECT_DELAY, LeaseClock
from brasstray.pool.minion import Reachability
from brasstray.pool.renewal_limit import RenewalLimit
from brasstray.pool.run_record import RunState

if TYPE_CHECKING:
    from anyio.abc import TaskGroup

    from brasstray.batch.ids import FencingToken, RunNumber
    from brasstray.batch.task_name import TaskName
    from brasstray.clock.clock import Clock
    from brasstray.pool.loop_lag import LoopLag
    from brasstray.pool.minion import Minion
    from brasstray.pool.minion_calls import MinionCalls
    from brasstray.pool.owner import PoolOwner
    from brasstray.pool.probe_reply import ProbeReply
    from brasstray.pool.run_record import RunRecord
    from brasstray.pool.timing import PoolTiming

_NO_WAIT = timedelta(0)
# A few lost replies in a row must not cost a minion its runs; all probes together must
# still end well within the lease.
PROBES_BEFORE_UNREACHABLE = 4
# A new owner opens a connection to each minion. Limiting how many it opens at once
# keeps each reply within the probe timeout on a slow host.
MAX_CONCURRENT_FIRST_CALLS = 8
# Upper bound of the backoff between probes of an unreachable minion, so that the loss
# of a rack does not saturate the owner.
MAX_PROBE_BACKOFF = timedelta(milliseconds=400)


class MinionSession:
    """Probe a minion and renew its leases in one task; start and stop runs in others.

    A probe only asks which runs are active or have ended; a lease renewal also extends
    the leases of all runs.
    """

    def __init__(
        self,
        owner: PoolOwner,
        minion: Minion,
        token: FencingToken,
        calls: MinionCalls,
        clock: Clock,
        timing: PoolTiming,
        group: TaskGroup,
        lag: LoopLag,
        first_call_limiter: anyio.Semaphore,
    ) -> None:
        self._owner = owner
        self._minion = minion
        self._token = token
        self._calls = calls
        self._clock = clock
        self._timing = timing
        self._group = group
        self._lag = lag
        self._first_call_limiter = first_call_limiter
        self._lease = LeaseClock(timing)
        self._acknowledged = 0
        self._scope = anyio.CancelScope()
        self._unanswered_at: timedelta | None = None
        self._silent_since = timedelta(0)
        self._newest_clock_ms = 0
        self._was_limited = False
        self._renewal_limit = RenewalLimit(minion, timing, owner.events)
        self._answer_count = 0
        self._unresolved_starts: dict[tuple[TaskName, RunNumber], timedelta] = {}
        self._unanswered_starts: dict[tuple[TaskName, RunNumber], timedelta] = {}
        self._replaced = False
        self._has_said_born = False
        self._seeks_missing_runs = False

    @property
    def minion(self) -> Minion:
        """Return the minion of this session."""
        return self._minion

    @property
    def leases_end(self) -> timedelta:
        """Return when every lease here has expired, whichever owner requested it."""
        return self._lease.latest_expiry

    def may_start_late(self, now: timedelta) -> bool:
        """Return whether a start with an unknown outcome may still be carried out."""
        return any(
            now - since < MAX_EFFECT_DELAY for since in self._unresolved_starts.values()
        )

    def inherit_late_starts(self, earlier: MinionSession) -> None:
        """Expect the late starts of an earlier incarnation's session here.

        This incarnation has seen no fencing token and no stop, and its clock is another
        one, so it would carry out any of them.
        """
        now = self._clock.monotonic()
        self._lease = earlier._lease.next_incarnation()
        self._unanswered_starts = dict(earlier._unanswered_starts)
        self._forget_old_starts(now)
        self._unresolved_starts = dict.fromkeys(self._unanswered_starts, now)
        for key, record in self._minion.runs.items():
            self._unresolved_starts[key] = now
            record.state = RunState.STOPPING
            self._group.start_soon(self._stop, record)

    def _forget_old_starts(self, now: timedelta) -> None:
        for key, sent in list(self._unanswered_starts.items()):
            if now - sent >= MAX_EFFECT_DELAY:
                del self._unanswered_starts[key]

    async def run(self) -> None:
        """Run the session until it is closed or the minion is gone.

        If the minion has seen a higher token, the owner is deposed.
        """
        try:
            with self._scope:
                await self._run()
        except MinionGoneError:
            self._handle_gone()
        except FencedError:
            self._owner.depose()
        finally:
            with anyio.CancelScope(shield=True):
                await self._calls.close_connections(self._minion.entry)

    def close(self) -> None:
        """Stop probing, as the minion has been removed for good."""
        self._scope.cancel()

    def replace(self) -> None:
        """Stop probing and ignore all replies, as a later incarnation is there."""
        self._replaced = True
        self._scope.cancel()

    def _handle_gone(self) -> None:
        if not self._replaced:
            self._owner.end_runs_on(self._minion)

    def _handle_restart(self, born: int) -> NoReturn:
        if not self._replaced:
            self._owner.handle_restart(self._minion, born)
        raise MinionGoneError(str(self._minion.entry.key))

    async def _run(self) -> None:
        while True:
            try:
                await self._reconcile()
                await self._maintain_lease()
            except MinionNoResponseError:
                await self._await_expiry()

    async def _reconcile(self) -> None:
        # A start without a response may be carried out seconds later, while its task
        # runs elsewhere. The lease that it asked for has expired, but a renewal would
        # extend it. The minion rejects the start once it has answered a stop, so stops
        # precede the renewal.
        await self._probe_throttled()
        for name, run in sorted(self._unresolved_starts):
            await self._call_stop(name, run)
            self._unresolved_starts.pop((name, run), None)
        if self._minion.reach is Reachability.UNREACHABLE:
            silent = self._clock.monotonic() - self._silent_since
            self._owner.handle_return(self._minion, silent)
        self._minion.reach = Reachability.LEASED
        self._owner.record_reachability(self._minion)

    async def _maintain_lease(self) -> None:
        while True:
            try:
                await self._probe(lease=True, wait=self._hold_wait())
            except MinionNoResponseError:
                self._unanswered_at = self._clock.monotonic()
                await self._probe_again()

    def _hold_wait(self) -> timedelta:
        """Return how long a lease renewal may wait for a run to end.

        A lost reply delays the ends that it lists by the whole wait, so waits are short
        while replies get lost.
        """
        timing = self._timing
        if not self._minion.runs:
            return timing.idle_hold_wait
        last = self._unanswered_at
        if last is not None and self._clock.monotonic() - last < timing.lossy_period:
            return timing.lossy_hold_wait
        return timing.hold_wait

    async def _probe_again(self) -> None:
        """Distinguish a lost reply or a dead connection from an unreachable minion.

        Each probe uses another connection, as one of them may be dead.
        """
        for _ in range(PROBES_BEFORE_UNREACHABLE - 1):
            try:
                await self._probe(lease=False, wait=_NO_WAIT)
            except MinionNoResponseError:
                continue
            return
        await self._probe(lease=False, wait=_NO_WAIT)

    async def _await_expiry(self) -> None:
        """Probe until the minion answers; end its runs once they have expired."""
        if self._minion.reach is Reachability.LEASED:
            self._minion.reach = Reachability.UNREACHABLE
            self._silent_since = self._clock.monotonic()
            self._owner.record_reachability(self._minion)
        now = self._clock.monotonic()
        for key, record in self._minion.runs.items():
            if record.state in (RunState.STARTING, RunState.OUTCOME_UNKNOWN):
                self._unresolved_starts[key] = now
        pause = self._timing.probe_backoff
        while True:
            # Another call may have been answered since the last time.
            settled = await self._expire_runs()
            remaining = self._lease.time_to_expiry(self._clock.monotonic())
            expired = settled and remaining <= _NO_WAIT
            try:
                if expired or self._minion.reach is Reachability.UNPROBED:
                    await self._probe_throttled()
                else:
                    await self._probe(lease=False, wait=_NO_WAIT)
            except MinionNoResponseError:
                if expired:
                    await self._clock.sleep(pause)
                    pause = min(pause * 2, MAX_PROBE_BACKOFF)
                else:
                    # Any reply before the expiry keeps the runs.
                    await self._clock.sleep(min(pause, remaining))
                continue
            return

    async def _expire_runs(self) -> bool:
        """End the runs that have expired; return False if the minion has answered.

        Another call may be answered while the store is queried. The minion is alive
        then, and the next probe shows which runs are active.
        """
        now = self._clock.monotonic()
        expired = self._expired_runs(now)
        if not expired:
            return True
        answers = self._answer_count
        lease_snapshot = self._lease.lease_snapshot(now)
        certain = not self._lease.may_be_extended(now)
        if certain:
            certain = await self._owner.confirm_ownership()
        if self._answer_count != answers:
            return False
        self._owner.expire_runs_on(
            self._minion, lease_snapshot, expired, certain=certain
        )
        return True

    def _expired_runs(self, now: timedelta) -> set[tuple[TaskName, RunNumber]]:
        return {
            key
            for key, record in self._minion.runs.items()
            if self._has_expired(record, now)
        }

    def _has_expired(self, record: RunRecord, now: timedelta) -> bool:
        """Return whether no incarnation of the minion can have the run any more.

        A run that this one has listed ends with its leases. Any other may begin on a
        later one, where the lease of a late start counts on another clock, so the end
        of the known leases is no bound. Where minions do not report when they started,
        another incarnation has another id and rejects the start.
        """
        answered = self._lease.clock_known
        if answered and self._lease.time_to_expiry(now) > _NO_WAIT:
            return False
        if record.reported or self._minion.entry.born is None:
            return answered
        return record.task is None or now >= self._latest_effect(record)

    def _latest_effect(self, record: RunRecord) -> timedelta:
        sent = self._unanswered_starts.get((record.name, record.run))
        return self._lease.all_expired_at() if sent is None else sent + MAX_EFFECT_DELAY

    async def _probe_throttled(self) -> None:
        """Probe the minion within the limit on concurrent first calls."""
        async with self._first_call_limiter:
            await self._probe(lease=False, wait=_NO_WAIT)

    async def _probe(
        self, *, lease: bool, wait: timedelta
    ) -> set[tuple[TaskName, RunNumber]] | None:
        """Ask which runs are active and which have ended; return the active ones.

        None means that a later probe was answered before this one, or that not all ends
        were listed.
        """
        self._require_ownership()
        sent = self._clock.monotonic()
        until = None
        if lease:
            self._was_limited = self._renewal_limit.is_binding(sent)
            if self._renewal_limit.may_renew(sent):
                until = self._lease.next_lease_until(sent, self._renewal_limit.until)
        try:
            reply = await self._calls.probe(
                self._minion.entry,
                self._token,
                self._acknowledged,
                until,
                wait,
                wait + self._timing.probe_timeout + self._lag.allowance,
            )
            self._check_incarnation(reply)
        except MinionNoResponseError:
            if until is not None:
                self._lease.record_unanswered(sent)
            raise
        self._answer_count += 1
        received = self._clock.monotonic()
        if not self._lease.clock_known:
            self._minion.fence(received + self._timing.stop_time)
        self._lease.record_clock(reply.clock_ms, sent, received)
        # The next call acknowledges these ends, after the owner has reported them: a
        # successor must still receive the ends that were not reported.
        new_ends = tuple(e for e in reply.ended if e.number > self._acknowledged)
        if new_ends:
            self._acknowledged = max(ended.number for ended in new_ends)
        # An out-of-order reply lists runs as active whose end a newer one has listed.
        out_of_order = reply.clock_ms < self._newest_clock_ms
        self._newest_clock_ms = max(self._newest_clock_ms, reply.clock_ms)
        if out_of_order:
            self._owner.apply_report(self._minion, (), new_ends)
        else:
            # A reply that was held back may be the last one of a process whose runs are
            # being killed, without an end.
            certain = reply.lists_all_ends and not wait
            self._owner.apply_report(
                self._minion, reply.active, new_ends, sent if certain else None
            )
            self._seek_missing_runs(reply, sent)
        if not lease:
            self.renew_if_unlimited()
        if out_of_order or not reply.lists_all_ends:
            return None
        return {(run.task, run.run) for run in reply.active}

    def _require_ownership(self) -> None:
        if not self._owner.may_act():
            raise OwnerDeposedError(str(self._token))

    def _check_incarnation(self, reply: ProbeReply) -> None:
        """Raise an error unless `reply` is by the incarnation of this session.

        A reply that does not say whose it is counts as before for a minion whose
        replies never say. Otherwise it proves nothing, and its ends may be those of
        another incarnation, so it is no response.
        """
        known = self._minion.entry.born
        match classify_reply(known, reply.born, replaced=self._replaced):
            case Incarnation.EARLIER:
                raise MinionGoneError(str(self._minion.entry.key))
            case Incarnation.LATER:
                assert reply.born is not None
                self._handle_restart(reply.born)
            case Incarnation.UNKNOWN if self._has_said_born:
                raise MinionNoResponseError("the time of start is missing")
        self._has_said_born = reply.born is not None
        reported = [(run.task, run.run) for run in reply.active]
        reported += [(end.task, end.run) for end in reply.ended]
        for key in reported:
            self._unanswered_starts.pop(key, None)

    def _seek_missing_runs(self, reply: ProbeReply, sent: timedelta) -> None:
        """Probe again soon if a run that had begun is missing in `reply`."""
        if self._seeks_missing_runs:
            return
        listed = {(run.task, run.run) for run in reply.active}
        if any(
            key not in listed and record.must_be_listed(sent)
            for key, record in self._minion.runs.items()
        ):
            self._seeks_missing_runs = True
            self._group.start_soon(self._probe_for_missing_runs)

    async def _probe_for_missing_runs(self) -> None:
        """Probe at once, and again when a stop that was under way is over.

        Without a response, the next report decides.
        """
        with suppress(MinionNoResponseError, MinionGoneError, FencedError):
            await self._probe(lease=False, wait=_NO_WAIT)
            await self._clock.sleep(self._timing.stop_time)
            await self._probe(lease=False, wait=_NO_WAIT)
        self._seeks_missing_runs = False

    def renew_if_unlimited(self) -> None:
        """Renew the leases now if the last renewal was limited and none is any more.

        This owner may die before the next renewal is due.
        """
        now = self._clock.monotonic()
        if self._was_limited and not self._renewal_limit.is_binding(now):
            self._was_limited = False
            self._group.start_soon(self._renew)

    async def _renew(self) -> None:
        if self._replaced:
            return
        try:
            await self._probe(lease=True, wait=_NO_WAIT)
        except (MinionNoResponseError, MinionGoneError, FencedError):
            # The session's own probes meet the same error.
            return

    def start(self, record: RunRecord, spec: str) -> None:
        """Send the start of `record`, which already counts against the capacity.

        The owner is told once it has a response, or has none in time.
        """
        self._group.start_soon(self._start, record, spec)

    def stop(self, record: RunRecord) -> None:
        """Stop `record`, and repeat the stop until the run is known to have ended."""
        if record.state in (
            RunState.STOPPING,
            RunState.STARTING,
            RunState.OUTCOME_UNKNOWN,
        ):
            # A start in flight is stopped once its response has arrived.
            return
        record.state = RunState.STOPPING
        self._group.start_soon(self._stop, record)

    async def _start(self, record: RunRecord, spec: str) -> None:
        # After a replacement, the run was moved to the next session, which stops it.
        if self._replaced or not self._owner.may_act():
            self._owner.settle_start()
            return
        sent = self._clock.monotonic()
        until = self._lease.next_lease_until(sent, self._lease_limit(record))
        key = (record.name, record.run)
        self._forget_old_starts(sent)
        self._unanswered_starts[key] = sent
        try:
            minion_clock_ms = await self._call_start(record, spec, until)
        except StartRefusedError as error:
            self._unanswered_starts.pop(key, None)
            self._owner.handle_refusal(self._minion, record, error.refusal)
        except MinionRestartedError as error:
            with suppress(MinionGoneError):
                self._handle_restart(error.born)
        except MinionNoResponseError:
            if self._replaced:
                return
            self._lease.record_unanswered(sent)
            if record.state is RunState.STARTING:
                record.state = RunState.OUTCOME_UNKNOWN
                self._owner.events.unanswered(self._minion, record)
            await self._resolve_start(record)
        except MinionGoneError:
            self._handle_gone()
        except FencedError:
            self._owner.depose()
        else:
            self._unanswered_starts.pop(key, None)
            if self._replaced:
                return
            self._answer_count += 1
            if self._minion.entry.born is None:
                # Otherwise the reply does not say whose clock it shows.
                self._lease.record_clock(minion_clock_ms, sent, self._clock.monotonic())
            if record.state is RunState.STARTING:
                record.state = RunState.ACTIVE
            record.confirm_begun(self._clock.monotonic())
            if record.task is None and record.state is RunState.ACTIVE:
                self.stop(record)

    async def _call_start(self, record: RunRecord, spec: str, until_ms: int) -> int:
        timeout = self._timing.call_timeout + self._lag.allowance
        try:
            return await self._calls.start(
                self._minion.entry,
                self._token,
                record.name,
                record.run,
                spec,
                until_ms,
                timeout,
            )
        finally:
            self._owner.settle_start()

    def _lease_limit(self, record: RunRecord) -> timedelta:
        """Return when the lease that the start of `record` requests must have expired.

        It counts from the decision to start: if the process was suspended since, the
        minion rejects the start.
        """
        decided = record.began + self._timing.lease
        limit = self._renewal_limit.until
        return decided if limit is None else min(decided, limit)

    async def _resolve_start(self, record: RunRecord) -> None:
        """Find out whether an unanswered start took effect, or have it rejected.

        The minion is probed first, as the run may be active although the response was
        lost.
        """
        try:
            await self._probe(lease=False, wait=_NO_WAIT)
        except MinionNoResponseError:
            # The session finds the minion unreachable, and reconciles when it is back.
            pass
        except (MinionGoneError, FencedError):
            return
        if record.state is RunState.OUTCOME_UNKNOWN:
            record.state = RunState.STOPPING
            key = record.name, record.run
            self._unresolved_starts[key] = self._clock.monotonic()
        if record.state is RunState.STOPPING:
            await self._stop(record)
        elif record.task is None:
            self.stop(record)

    async def _stop(self, record: RunRecord) -> None:
        key = (record.name, record.run)
        # Other leases may depend on the end of an orphaned run, so a stop that got lost
        # is repeated immediately once.
        backoff = _NO_WAIT if record.task is None else self._timing.probe_backoff
        while key in self._minion.runs and self._minion.reach is not Reachability.GONE:
            try:
                await self._call_stop(*key)
                self._unresolved_starts.pop(key, None)
                await self._await_end(record)
            except MinionNoResponseError:
                await self._clock.sleep(backoff)
                backoff = self._stop_backoff()
            except (MinionGoneError, FencedError):
                return

    def _stop_backoff(self) -> timedelta:
        """Return the pause between stops; a late run may outlast its leases by long."""
        expired = self._lease.time_to_expiry(self._clock.monotonic()) <= _NO_WAIT
        if expired and self._minion.entry.born is not None:
            return MAX_PROBE_BACKOFF
        return self._timing.probe_backoff

    async def _await_end(self, record: RunRecord) -> None:
        """Wait for the end of a run whose stop was answered.

        A run that is being stopped is no longer listed as active, and uses its capacity
        until its end is listed, within the stop time. A run that had not begun has no
        end to list, nor has one whose end was lost. One that is active after that time
        has to be stopped again.
        """
        await self._clock.sleep(self._timing.stop_time)
        if (record.name, record.run) not in self._minion.runs:
            return
        active = await self._probe(lease=False, wait=_NO_WAIT)
        if active is not None and (record.name, record.run) not in active:
            self._owner.record_stop_without_end(self._minion, record)

    async def _call_stop(self, name: TaskName, run: RunNumber) -> None:
        self._require_ownership()
        timeout = self._timing.call_timeout + self._lag.allowance
        try:
            await self._calls.stop(self._minion.entry, self._token, name, run, timeout)
        except MinionRestartedError as error:
            self._handle_restart(error.born)
        if self._replaced:
            raise MinionGoneError(str(self._minion.entry.key))
        self._answer_count += 1


__all__ = ["MinionSession"]
