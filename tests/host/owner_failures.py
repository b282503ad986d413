"""Play series of owners that fail in a row, in a forced order, and record them."""

from __future__ import annotations

import json
import os
import sys
from collections import Counter
from dataclasses import asdict, dataclass, field, replace
from datetime import timedelta
from multiprocessing import Pool
from random import Random

import anyio
from opentelemetry.metrics import NoOpMeterProvider
from tests.conftest import run_virtual

from brasstray.batch.outcome import BatchOutcome
from brasstray.batch.resources import Resources
from brasstray.batch.task_name import TaskName
from brasstray.metrics.pool_metrics import PoolMetrics
from brasstray.pool.errors import MinionNoResponseError
from brasstray_standins.call_faults import RandomCallFaults
from brasstray_standins.leased_minion import Work
from brasstray_standins.pool_system import (
    TASK_NEEDS,
    PoolSystem,
    PoolSystemSize,
    make_batch,
)

SIZE = PoolSystemSize(data_centres=2, hosts_each=1, minions_each=2)
# Hosts of the first data centre beside the owners that fail in a row: one that owns the
# pool at the end, one of a caller that fails, and one of living callers.
MORE_HOSTS = 3
SPARE = "dc0-h9"
# With neighbours, minions have room for four tasks: six neighbours leave two slots for
# the job, so that each of its minions has neighbours.
ROOMY_SIZE = replace(SIZE, capacity=Resources(28_000, 32_768))
NEIGHBOURS = 6
JOB, NEIGHBOUR = "a" * 16, "b" * 16
LONG_TASK = timedelta(seconds=9)
TIMEOUT = timedelta(seconds=14)
# How long the callers in the users' programs wait before they submit a job again.
RESEND_PAUSE_MS = 1_300
FAILURES = ("killed", "cut off", "isolated", "suspended")
TENURES_MS = (10, 30, 50, 100, 150, 200, 300, 400, 450, 500, 600, 700, 800, 1_000)
SWEPT_TENURES_MS = (10, 30, 100, 200, 300, 400, 450, 500, 700, 1_000)
# How long a series is watched, in all and after the caller sent again.
LAST_EVENT = timedelta(seconds=6)
WATCHED_AFTER_RESEND = timedelta(milliseconds=1_200)


def ms(count):
    return timedelta(milliseconds=count)


@dataclass(frozen=True)
class Series:
    """Define one series.

    tenures_ms: how long each owner after the first keeps the pool before it fails; the
        first fails at time 0, so one more owner fails than there are tenures.
    failure: how owners fail: "killed", "cut off" from hosts and store (they still reach
        minions), "isolated" (cut off from minions too), or "suspended" for
        `suspended_ms`.
    first_failure: how the caller's host fails, if otherwise.
    caller: where the job was submitted: at the first "owner", at a "peer" that fails
        `caller_first_ms` before it, or at a "living" host.
    neighbour: what else runs on the minions: "nothing", "run" (a run of a living
        caller on each), or "starts" (short tasks throughout).
    resend: where the caller sends again: in the "other" data centre or the "same".
    pause_ms: from the broken connection or the unknown outcome to the resend.
    late, unanswered: shares of calls to minions from time 0.
    unreached: the owners that cannot reach one minion: those after the owner with this
        number, counted from 0; None for no such fault.
    idle_unreached: whether that minion is one without a run of the job, if any is.
    lost_stops: how many stops of each run are lost, from time 0.
    earlier: takeovers of the pool in the seconds before the job was submitted.
    """

    tenures_ms: tuple[int, ...] = ()
    failure: str = "killed"
    caller: str = "owner"
    neighbour: str = "nothing"
    resend: str = "other"
    pause_ms: int = RESEND_PAUSE_MS
    late: float = 0.0
    unanswered: float = 0.0
    unreached: int | None = None
    earlier: int = 0
    caller_first_ms: int = 0
    suspended_ms: int = 1_500
    seed: int = 1
    idle_unreached: bool = False
    first_failure: str | None = None
    lost_stops: int = 0

    @property
    def caller_failure(self):
        """Return how the caller's host fails."""
        return self.first_failure or self.failure


@dataclass
class Played:
    """Hold what happened: events as (ms, text), and second runs of a task."""

    events: list[tuple[float, str]] = field(default_factory=list)
    second_runs: list[tuple[str, float, float | None]] = field(default_factory=list)
    broken: list[str] = field(default_factory=list)


class SeriesPlay:
    """Force one series on a running system."""

    def __init__(self, system, series):
        self.system = system
        self.series = series
        self.played = Played()
        self.zero = timedelta(0)
        self.over = anyio.Event()
        self.answer = None
        self.answered = anyio.Event()
        self.leases = {}
        self.open_seconds = []

    # Recording

    def note(self, text):
        at = (self.system.clock.monotonic() - self.zero) / ms(1)
        self.played.events.append((round(at, 1), text))

    def watch_host(self, name):
        events = self.system.hosts[name].host.events

        def wrap(method, text):
            original = getattr(events, method)

            def recorded(*args, **kwargs):
                self.note(f"{name}: {text(*args, **kwargs)}")
                return original(*args, **kwargs)

            setattr(events, method, recorded)

        wrap("pool_taken", lambda pool, token, *_: f"takes {pool}, token {token}")
        wrap("pool_left", lambda pool, _, reason: f"leaves {pool}: {reason}")
        wrap(
            "recovered",
            lambda pool, count, unreached, queued, given_up: (
                f"recovered {pool}: {count} minions, {unreached} unreached, "
                f"{queued} tasks queued, {given_up} given up"
            ),
        )
        wrap(
            "run_found",
            lambda minion, record, phase: (
                f"finds run {record.name.batch[0]}{record.name.index}"
                f"#{record.run} on {minion.entry.id}, task "
                f"{phase.value if phase else 'unclaimed'}"
            ),
        )
        wrap("dropped", lambda step, reason: f"drops {step.batch[0]}: {reason}")
        wrap(
            "answered",
            lambda active, result, _: (
                f"answers {active.batch.id[0]}: {result.outcome.value}, {result.reason}"
            ),
        )

    def watch_minion(self, minion):
        name = minion.entry.id
        hold, start, stop, end = minion.hold, minion.start, minion.stop, minion._end

        def lease(token):
            left = minion._lease_until_ms - minion.clock_ms
            at = (self.system.clock.monotonic() - self.zero) / ms(1)
            self.leases[name] = (token, round(at + left, 1))

        async def recorded_hold(entry, token, acknowledged, until_ms, wait):
            before = minion._lease_until_ms
            known = self.leases.get(name, (token, 0))[0]
            reply = hold(entry, token, acknowledged, until_ms, wait)
            # The lease is extended before the call waits.
            if until_ms is not None and token >= minion._token:
                latest = max(before, min(until_ms, minion.clock_ms + 1_000))
                at = (self.system.clock.monotonic() - self.zero) / ms(1)
                self.leases[name] = (token, round(at + latest - minion.clock_ms, 1))
                if token != known:
                    self.note(
                        f"{name}: lease by token {token} to {self.leases[name][1]}"
                    )
            return await reply

        def recorded_start(entry, token, task, run, until_ms):
            count = len(self.played.broken)
            answer = start(entry, token, task, run, until_ms)
            lease(token)
            if task.batch == JOB:
                self.note(f"{name}: starts {task.batch[0]}{task.index}#{run}")
            twice = [b for b in self.system.book.broken if " and [" in b]
            if len(twice) > count:
                self.played.broken = twice
                at = (self.system.clock.monotonic() - self.zero) / ms(1)
                self.open_seconds.append((task, at))
                self.note(f"SECOND RUN of {task.batch[0]}{task.index} on {name}")
            return answer

        def recorded_stop(entry, token, task, run):
            if task.batch == JOB:
                self.note(
                    f"{name}: stop of {task.batch[0]}{task.index}#{run}, {token=}"
                )
            return stop(entry, token, task, run)

        def recorded_end(run, how):
            if run.task.batch == JOB:
                token, until = self.leases.get(name, (0, 0))
                self.note(
                    f"{name}: {run.task.batch[0]}{run.task.index}#{run.run} ends: "
                    f"{how.value} (last lease by token {token}, to {until})"
                )
                for task, at in [s for s in self.open_seconds if s[0] == run.task]:
                    self.open_seconds.remove((task, at))
                    now = (self.system.clock.monotonic() - self.zero) / ms(1)
                    self.played.second_runs.append(
                        (f"{task.batch[0]}{task.index}", at, round(now - at, 1))
                    )
            return end(run, how)

        minion.hold, minion.start = recorded_hold, recorded_start
        minion.stop, minion._end = recorded_stop, recorded_end

    # The order

    async def run(self):
        series, system = self.series, self.system
        for name in list(system.hosts):
            self.watch_host(name)
        for minion in system.minions.values():
            self.watch_minion(minion)
        for _ in range(series.earlier):
            await self._replace_owner()
        system.book.default_work = Work(TASK_NEEDS, LONG_TASK)
        async with anyio.create_task_group() as group:
            if series.neighbour == "run":
                batch = make_batch(NEIGHBOUR, NEIGHBOURS, LONG_TASK)
                group.start_soon(self._submit_quietly, SPARE, batch)
                await system.clock.sleep(ms(100))
            elif series.neighbour == "starts":
                group.start_soon(self._start_short_tasks, group)
            first = system.owner()
            caller = self._caller_host(first)
            self.caller_name = caller
            scope = anyio.CancelScope()
            system.hosts[caller].callers.append(scope)
            group.start_soon(self._submit_first, caller, scope)
            await system.clock.sleep(ms(300 + series.seed % 7 * 30))
            if series.caller == "peer":
                self.zero = system.clock.monotonic()
                await self._fail(caller, group, series.caller_failure)
                await system.clock.sleep(ms(series.caller_first_ms))
            self._inject_call_faults()
            if series.caller != "peer":
                self.zero = system.clock.monotonic()
            group.start_soon(self._resend, caller)
            group.start_soon(self._fail_in_a_row, group, first)
            with anyio.move_on_after(LAST_EVENT.total_seconds()):
                await self.over.wait()
            # A suspended host does not notice that the play ends.
            for running in system.hosts.values():
                running.gate.release()
            group.cancel_scope.cancel()
        return self.played

    def _caller_host(self, first):
        if self.series.caller == "owner":
            return first
        names = sorted(n for n in self.system.hosts if n.startswith("dc0"))
        return next(n for n in reversed(names) if n not in (first, SPARE))

    async def _replace_owner(self):
        """Kill the owner and start its host again, once another has recovered."""
        system = self.system
        name = system.owner()
        system.kill(name)
        while not self._owner_after(0):
            await system.clock.sleep(ms(5))
        system.start(name, "dc0")
        self.watch_host(name)
        await system.clock.sleep(ms(600))

    def _owner_after(self, token):
        for name, running in list(self.system.hosts.items()):
            owner = running.host.owner
            if name.startswith("dc0") and owner is not None and owner.token > token:
                return name
        return None

    def _inject_call_faults(self):
        random = Random(self.series.seed)
        for running in self.system.hosts.values():
            if self.series.late or self.series.unanswered:
                running.calls.random_faults = RandomCallFaults(
                    random, self.series.late, self.series.unanswered, ms(3_000)
                )
            if self.series.lost_stops:
                self._lose_stops(running.calls)

    def _lose_stops(self, calls):
        stop, lost = calls.stop, Counter()

        async def lossy_stop(minion, token, task, run, timeout):
            lost[task] += 1
            if lost[task] <= self.series.lost_stops:
                await self.system.clock.sleep(timeout)
                raise MinionNoResponseError("lost")
            await stop(minion, token, task, run, timeout)

        calls.stop = lossy_stop

    async def _fail_in_a_row(self, group, first):
        system, series = self.system, self.series
        name, token = first, 0
        for number, tenure in enumerate((0, *series.tenures_ms)):
            if number:
                name = None
                while name is None:
                    await system.clock.sleep(ms(1))
                    name = self._owner_after(token)
                await system.clock.sleep(ms(tenure))
            if name not in system.hosts or system.hosts[name].host.owner is None:
                self.note(f"{name} is no owner any more, series ends")
                return
            token = system.hosts[name].host.owner.token
            if series.unreached is not None and number >= series.unreached:
                for other, running in system.hosts.items():
                    if other.startswith("dc0") and other != name:
                        running.calls.cut.add(self._minion_out_of_reach())
            is_first = number == 0 and series.caller == "owner"
            failure = series.caller_failure if is_first else series.failure
            await self._fail(name, group, failure)

    def _minion_out_of_reach(self):
        starts = self.system.book.recorded_starts
        used = [s.minion.id for s in starts if s.task.batch == JOB]
        if not self.series.idle_unreached:
            return used[0]
        idle = (
            name
            for name in sorted(self.system.minions)
            if name.startswith("dc0") and name not in used
        )
        return next(idle, used[0])

    async def _fail(self, name, group, failure):
        system = self.system
        self.note(f"{name} is {failure}")
        match failure:
            case "killed":
                system.kill(name)
            case "cut off" | "isolated":
                if failure == "isolated":
                    system.hosts[name].calls.cut.update(system.minions)
                parts = dict(system.network.partitions)
                parts[name] = 1 + len(parts)
                system.network.cut(parts)
                system.store.cut.add(name)
            case "suspended":
                gate = system.hosts[name].gate
                gate.close()
                group.start_soon(self._wake, name, gate)

    async def _wake(self, name, gate):
        await self.system.clock.sleep(ms(self.series.suspended_ms))
        gate.open()
        self.note(f"{name} goes on")

    # Callers

    async def _submit_quietly(self, name, batch):
        scope = anyio.CancelScope()
        if name not in self.system.hosts:
            return
        self.system.hosts[name].callers.append(scope)
        with scope:
            await self.system.submit(name, batch, TIMEOUT)

    async def _start_short_tasks(self, group):
        for number in range(200):
            batch = make_batch(f"{number:016x}", NEIGHBOURS)
            for index in range(NEIGHBOURS):
                self.system.book.work_by_task[TaskName(batch.id, 0, index)] = Work(
                    TASK_NEEDS, ms(60)
                )
            group.start_soon(self._submit_quietly, SPARE, batch)
            await self.system.clock.sleep(ms(50))

    async def _submit_first(self, name, scope):
        with scope:
            result = await self.system.submit(
                name, make_batch(JOB, 2, LONG_TASK), TIMEOUT
            )
            self.answer = result.outcome
        self.answered.set()

    async def _resend(self, caller):
        """Send the job again once its connection broke or its outcome is unknown."""
        series, system = self.series, self.system
        await self.answered.wait()
        if self.answer not in (None, BatchOutcome.UNKNOWN):
            self.over.set()
            return
        began = system.clock.monotonic()
        if series.caller == "peer" and series.caller_failure == "killed":
            began = self.zero
        outcome = self.answer.value if self.answer else "connection broken"
        self.note(f"caller knows since {(began - self.zero) / ms(1):g}: {outcome}")
        left = ms(series.pause_ms) - (system.clock.monotonic() - began)
        await system.clock.sleep(left)
        name = "dc1-h0"
        if series.resend == "same":
            name = SPARE
        if name not in system.hosts:
            self.over.set()
            return
        self.note(f"caller sends again to {name}")
        async with anyio.create_task_group() as group:
            group.start_soon(self._submit_quietly, name, make_batch(JOB, 2, LONG_TASK))
            await system.clock.sleep(WATCHED_AFTER_RESEND)
            self.over.set()


def play(series):
    """Return what happens in `series`."""

    async def run_system():
        async with anyio.create_task_group() as group:
            metrics = PoolMetrics(NoOpMeterProvider().get_meter("test"))
            size = SIZE if series.neighbour == "nothing" else ROOMY_SIZE
            system = PoolSystem(group, metrics, size, series.seed)
            system.start_all()
            for number in range(1, len(series.tenures_ms) + MORE_HOSTS):
                system.start(f"dc0-h{number}", "dc0")
            system.start(SPARE, "dc0")
            await system.settle()
            with anyio.fail_after(600):
                played = await SeriesPlay(system, series).run()
            group.cancel_scope.cancel()
        return played

    return run_virtual(run_system, series.seed)


# Drawing and shrinking, by hand:
#   python -m tests.host.owner_failures sweep
#   python -m tests.host.owner_failures draw FIRST_SEED COUNT
#   python -m tests.host.owner_failures shrink < FAILING_LINES


def draw(seed):
    """Return the series that `seed` draws."""
    random = Random(f"owner series {seed}")
    failing = random.randint(1, 5)
    caller = random.choice(("owner", "owner", "peer", "living"))
    late, unanswered = random.choice(
        ((0.0, 0.0), (0.0, 0.0), (0.3, 0.0), (0.0, 0.3), (0.15, 0.15))
    )
    return Series(
        tuple(random.choice(TENURES_MS) for _ in range(failing - 1)),
        random.choice(FAILURES),
        caller,
        random.choice(("nothing", "run", "starts")),
        random.choice(("other", "other", "same")),
        random.choice((1_300, 1_300, 1_400, 1_700)),
        late,
        unanswered,
        random.choice((None, None, random.randrange(failing))),
        random.choice((0, 0, 0, 1, 2, 3)),
        random.choice((0, 200, 400, 550, 590)) if caller == "peer" else 0,
        random.choice((300, 700, 1_500)),
        seed,
        idle_unreached=random.random() < 0.5,
        first_failure=random.choice((None, "killed", *FAILURES)),
    )


def kind(series):
    """Return what tells one kind of series from another."""
    return (series.caller_failure, series.failure, series.caller, series.resend)


def fails(series):
    """Return whether a task runs twice in `series`."""
    return bool(play(series).broken)


def size_of(series):
    """Return how much happens in `series`, to compare two that fail."""
    faults = (
        bool(series.late or series.unanswered),
        series.unreached is not None,
        series.neighbour != "nothing",
        series.pause_ms != RESEND_PAUSE_MS,
        series.caller_first_ms > 0,
    )
    return (
        len(series.tenures_ms) + series.earlier + sum(faults),
        sum(series.tenures_ms) + series.caller_first_ms,
    )


def smaller(series):
    """Yield series in which one thing less happens, or one tenure is shorter."""
    tenures = series.tenures_ms
    for number in range(len(tenures)):
        yield replace(series, tenures_ms=tenures[:number] + tenures[number + 1 :])
    if series.earlier:
        yield replace(series, earlier=series.earlier - 1)
    if series.late or series.unanswered:
        yield replace(series, late=0.0, unanswered=0.0)
    if series.unreached is not None:
        yield replace(series, unreached=None)
    if series.neighbour != "nothing":
        yield replace(series, neighbour="nothing")
    if series.pause_ms != RESEND_PAUSE_MS:
        yield replace(series, pause_ms=RESEND_PAUSE_MS)
    if series.caller_first_ms:
        yield replace(series, caller_first_ms=0)
    for number, tenure in enumerate(tenures):
        for shorter in (t for t in TENURES_MS if t < tenure):
            changed = (*tenures[:number], shorter, *tenures[number + 1 :])
            yield replace(series, tenures_ms=changed)


def shrink(series):
    """Return the smallest series found that fails as well."""
    for candidate in smaller(series):
        if fails(candidate):
            return shrink(candidate)
    return series


def _play_drawn(seed):
    series = draw(seed)
    played = play(series)
    return series, played.second_runs, played.broken


def _play_one(series):
    played = play(series)
    return series, played.second_runs, played.broken


def _shrink_and_play(series):
    return _play_one(shrink(series))


def _sweep():
    """Yield equal tenures for each number of owners and each way to fail."""
    ways = [(failure, None) for failure in FAILURES]
    ways += [(failure, "killed") for failure in FAILURES[1:]]
    for failure, first_failure in ways:
        for count in range(5):
            for tenure in SWEPT_TENURES_MS if count else (0,):
                yield Series((tenure,) * count, failure, first_failure=first_failure)


def _print(found):
    series, second_runs, broken = found
    line = {"series": asdict(series), "runs": second_runs, "broken": len(broken)}
    print(json.dumps(line), flush=True)


def main():
    """Play the series that the command line names; print one line each."""
    workers = int(os.environ.get("OWNER_FAILURES_WORKERS", "4"))
    with Pool(workers) as pool:
        if sys.argv[1] == "sweep":
            for found in pool.imap_unordered(_play_one, list(_sweep())):
                _print(found)
        elif sys.argv[1] == "shrink":
            failing = [json.loads(line)["series"] for line in sys.stdin]
            series = [
                Series(**{**s, "tenures_ms": tuple(s["tenures_ms"])}) for s in failing
            ]
            for found in pool.imap_unordered(_shrink_and_play, series):
                _print(found)
        elif sys.argv[1] == "draw":
            first, count = int(sys.argv[2]), int(sys.argv[3])
            for found in pool.imap_unordered(_play_drawn, range(first, first + count)):
                _print(found)


if __name__ == "__main__":
    main()
