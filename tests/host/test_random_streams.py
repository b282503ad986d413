"""Compare hosts and minions under random faults with a naive dispatcher.

The naive dispatcher runs each job once, in a process that never fails and has capacity
for all jobs.
"""

from __future__ import annotations

import json
import os
from dataclasses import dataclass
from datetime import timedelta

import anyio
from hypothesis import HealthCheck, Phase, given, settings, strategies as st

from brasstray.batch.batch import Batch
from brasstray.batch.ids import BatchId
from brasstray.batch.outcome import BatchOutcome
from brasstray.batch.step import Step
from brasstray.batch.task_name import TaskName
from brasstray_standins.leased_minion import Work
from brasstray_standins.pool_system import CONFIG_KEY, TASK_NEEDS, PoolSystemSize

# About a second each on a busy machine; more are run by hand.
EXAMPLES = int(os.environ.get("STREAM_EXAMPLES", "40"))
SIZE = PoolSystemSize(data_centres=2, hosts_each=2, minions_each=3)
HOSTS = SIZE.data_centres * SIZE.hosts_each
MINIONS = SIZE.data_centres * SIZE.minions_each
TIMEOUT = timedelta(seconds=2)
RESEND_PAUSE = timedelta(milliseconds=1_300)
HOST_FAULTS = ("kill", "restart", "freeze", "cut host", "drain", "lose", "late")
MINION_FAULTS = ("crash", "stuck", "slow", "failing", "cut minion", "draining")
STORE_FAULTS = ("store down", "revoke", "compact", "configure", "cut centre")


@dataclass(frozen=True)
class Submit:
    """Submit a job to a host."""

    host: int
    width: int
    duration_ms: int
    fails: bool
    hangs_up: bool


@dataclass(frozen=True)
class Fault:
    """Inject a fault into a host, a minion or the store for a limited time."""

    what: str
    target: int
    for_ms: int


@dataclass(frozen=True)
class Pause:
    ms: int


TASK_DURATIONS_MS = st.sampled_from([20, 60, 60, 200, 900])
SUBMIT = st.builds(
    Submit,
    st.integers(0, HOSTS - 1),
    st.integers(1, 6),
    TASK_DURATIONS_MS,
    st.sampled_from([False] * 7 + [True]),
    st.sampled_from([False] * 7 + [True]),
)
CALM_SUBMIT = st.builds(
    Submit,
    st.integers(0, HOSTS - 1),
    st.integers(1, 6),
    st.sampled_from([20, 60, 200]),
    st.booleans(),
    st.just(False),
)
FAULT = st.builds(
    Fault,
    st.sampled_from(HOST_FAULTS + MINION_FAULTS + STORE_FAULTS),
    st.integers(0, 5),
    st.sampled_from([100, 500, 1_500, 3_000]),
)
PAUSE = st.builds(Pause, st.integers(0, 400))
CALM_STREAMS = st.lists(st.one_of(CALM_SUBMIT, PAUSE), min_size=1, max_size=12)
STREAMS = st.lists(st.one_of(SUBMIT, SUBMIT, FAULT, PAUSE), min_size=4, max_size=30)


class Client:
    """Submit one job, and submit it again if its outcome stays unknown."""

    def __init__(self, system, job, submit):
        self._system = system
        self._submit = submit
        self.job = job
        self.tries = []
        step = Step(submit.width, TASK_NEEDS, timedelta(milliseconds=60))
        self._batch = Batch(BatchId(job), "", (step,))
        work = Work(
            TASK_NEEDS, timedelta(milliseconds=submit.duration_ms), submit.fails
        )
        for index in range(submit.width):
            system.book.work_by_task[TaskName(BatchId(job), 0, index)] = work

    async def run(self):
        first = await self._try(self._submit.host)
        if self._submit.hangs_up or first not in (None, BatchOutcome.UNKNOWN):
            return
        await self._system.clock.sleep(RESEND_PAUSE)
        await self._try(self._submit.host + 1)

    async def _try(self, number):
        name = host_name(number)
        running = self._system.hosts.get(name)
        outcome = None
        if running is not None:
            wait = timedelta(milliseconds=80) if self._submit.hangs_up else TIMEOUT
            with anyio.move_on_after(wait.total_seconds()) as scope:
                running.callers.append(scope)
                result = await self._system.submit(name, self._batch, TIMEOUT)
                outcome = result.outcome
            running.callers.remove(scope)
        self.tries.append(outcome)
        return outcome


def host_name(number):
    number %= HOSTS
    return f"dc{number % SIZE.data_centres}-h{number // SIZE.data_centres}"


def minion_name(number):
    number %= MINIONS
    return f"dc{number % SIZE.data_centres}-m{number // SIZE.data_centres}"


class FaultInjector:
    """Inject faults, and end each of them after its duration."""

    def __init__(self, system):
        self._system = system
        self._version = 1

    async def inject(self, fault):
        system, duration = self._system, timedelta(milliseconds=fault.for_ms)
        name, minion = host_name(fault.target), minion_name(fault.target)
        running, target = system.hosts.get(name), system.minions[minion]
        match fault.what:
            case "kill" | "restart":
                if running is not None and len(system.hosts) > 1:
                    system.kill(name)
                    if fault.what == "restart":
                        await system.clock.sleep(duration)
                        system.start(name, name.partition("-")[0])
            case "freeze" if running is not None:
                running.gate.close()
                await system.clock.sleep(duration)
                running.gate.open()
            case "cut host":
                await self._cut({name}, duration)
            case "cut centre":
                centre = f"dc{fault.target % SIZE.data_centres}"
                inside = {n for n in system.hosts if n.startswith(centre)}
                await self._cut(inside, duration)
            case "drain" if running is not None:
                running.host.drain()
            case "lose" if running is not None:
                running.calls.lost_responses = 4
            case "late" if running is not None:
                running.calls.delayed_starts = 3
            case "crash":
                target.crash()
                system.listed = [e for e in system.listed if e.id != minion]
            case "stuck":
                target.stuck = True
                await system.clock.sleep(duration)
                target.stuck = False
            case "slow":
                target.slowdown = 6.0
                await system.clock.sleep(duration)
                target.slowdown = 1.0
            case "failing":
                target.failing = True
                await system.clock.sleep(duration)
                target.failing = False
            case "cut minion":
                cut = [running.calls.cut for running in system.hosts.values()]
                for one in cut:
                    one.add(minion)
                await system.clock.sleep(duration)
                for one in cut:
                    one.discard(minion)
            case "draining":
                system.set_draining(minion)
            case "store down":
                system.store.down = True
                await system.clock.sleep(duration)
                system.store.down = False
            case "revoke":
                system.store.remove(f"brasstray/pools/dc{fault.target % 2}")
            case "compact":
                system.store.compact()
            case "configure":
                self._version += 1
                system.set_config(self._version)

    async def _cut(self, names, duration):
        system = self._system
        system.network.cut(dict.fromkeys(names, 1))
        system.store.cut.update(names)
        await system.clock.sleep(duration)
        system.network.cut({})
        system.store.cut.clear()


async def play_stream(system, stream):
    clients, injector = [], FaultInjector(system)
    async with anyio.create_task_group() as group:
        for event in stream:
            match event:
                case Submit():
                    client = Client(system, f"{len(clients):016x}", event)
                    clients.append(client)
                    group.start_soon(client.run)
                case Fault():
                    group.start_soon(injector.inject, event)
                case Pause(ms):
                    await system.clock.sleep(timedelta(milliseconds=ms))
    # Delayed orders to minions arrive up to 3 s later.
    await system.clock.sleep(timedelta(seconds=5))
    return clients


def naive_outcome(submit):
    return BatchOutcome.FAILED if submit.fails else BatchOutcome.SUCCEEDED


CHECKS = {
    "deadline": None,
    "derandomize": True,
    "database": None,
    "suppress_health_check": list(HealthCheck),
    "phases": (Phase.explicit, Phase.generate),
}


@settings(max_examples=max(10, EXAMPLES // 4), **CHECKS)
@given(CALM_STREAMS)
def test_without_faults_every_job_ends_as_with_the_naive_dispatcher(play_pools, stream):
    submits = [event for event in stream if isinstance(event, Submit)]

    async def story(system):
        return await play_stream(system, stream)

    clients, system = play_pools(story, SIZE)
    for client, submit in zip(clients, submits, strict=True):
        outcome = client.tries[0]
        # Unlike the naive dispatcher, this one may refuse jobs for lack of capacity.
        assert outcome in (naive_outcome(submit), BatchOutcome.NOT_RUN)
    assert system.book.broken == []


@settings(max_examples=EXAMPLES, **CHECKS)
@given(STREAMS)
def test_under_faults_no_answer_is_untrue(play_pools, stream):
    # Callers submit, disconnect and resubmit while hosts crash, freeze, drain and are
    # partitioned, minions crash, hang and lose orders, and the store fails or loses
    # keys. No task may run twice at the same time, and no minion may exceed its
    # capacity. Jobs answered as succeeded have run; those answered as "not run" never
    # do.
    async def story(system):
        return await play_stream(system, stream)

    clients, system = play_pools(story, SIZE)
    assert system.book.broken == []
    started = {}
    for name in system.book.starts:
        started.setdefault(name.batch, set()).add(name.index)
    for client in clients:
        ran = started.get(client.job, set())
        width = client._submit.width
        if BatchOutcome.SUCCEEDED in client.tries:
            assert not client._submit.fails
            assert ran == set(range(width))
        if all(outcome is BatchOutcome.NOT_RUN for outcome in client.tries):
            assert not ran
    versions = {running.host.config.version for running in system.hosts.values()}
    assert versions <= {
        json.loads(system.store.entries(CONFIG_KEY)[0].value)["version"]
    }
