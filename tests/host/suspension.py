"""Suspend all simulated hosts at once, and record what they do on old knowledge."""

from __future__ import annotations

import asyncio
import selectors
from dataclasses import dataclass, field
from datetime import timedelta
from random import Random

import anyio
from opentelemetry.metrics import NoOpMeterProvider

import brasstray.clock.loop
from brasstray.batch.batch import Batch
from brasstray.batch.ids import BatchId
from brasstray.batch.step import Step
from brasstray.metrics.pool_metrics import PoolMetrics
from brasstray.peer.message.run_tasks import RunTasks
from brasstray.pool.errors import StartRefusal, StartRefusedError
from brasstray_standins.leased_minion import Work
from brasstray_standins.memory_streams import MemoryStream
from brasstray_standins.pool_system import TASK_NEEDS, PoolSystem, make_batch

SECOND = timedelta(seconds=1)
MILLISECOND = timedelta(milliseconds=1)
LONG_WORK = SECOND / 5


class _VirtualSelector(selectors.DefaultSelector):
    """Let the loop's time pass in place of a wait."""

    def __init__(self):
        super().__init__()
        self.now = 0.0

    def select(self, timeout=None):
        assert timeout is not None, "every task waits for another"
        self.now += max(0.0, timeout)
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """Run on a virtual clock, with the order of timers that asyncio has."""

    def __init__(self):
        self._virtual = _VirtualSelector()
        super().__init__(self._virtual)

    def time(self):
        return self._virtual.now

    def jump(self, duration):
        """Let `duration` pass without running anything."""
        self._virtual.now += duration.total_seconds()


def run_system(scenario, size, seed, monkeypatch):
    """Return what `scenario` returns, played in a settled system under asyncio."""

    async def run():
        async with anyio.create_task_group() as group:
            metrics = PoolMetrics(NoOpMeterProvider().get_meter("test"))
            system = PoolSystem(group, metrics, size, seed)
            system.start_all()
            await system.settle()
            result = await scenario(system)
            group.cancel_scope.cancel()
        return result

    with monkeypatch.context() as patch:
        patch.setattr(
            brasstray.clock.loop,
            "_loop_time_source",
            lambda: asyncio.get_running_loop().time,
        )
        return anyio.run(run, backend_options={"loop_factory": VirtualLoop})


@dataclass
class Recorder:
    """Record the calls and messages that depend on what was known before.

    `acts` lists the calls and messages after a suspension under the token, or for the
    job, of the time before it; `late_starts` the starts after the limit of their job.
    """

    system: PoolSystem
    limits: dict[BatchId, timedelta] = field(default_factory=dict)
    resumed_at: timedelta | None = None
    newest_token: int = 0
    sheds: int = 0
    acts: list[str] = field(default_factory=list)
    late_starts: list[str] = field(default_factory=list)

    def watch(self, monkeypatch):
        """Record the calls of all hosts, and the requests between them."""
        for name, running in self.system.hosts.items():
            self._watch_calls(name, running.calls)
        send = MemoryStream.send

        async def send_recorded(stream, messages):
            for message in messages:
                if isinstance(message, RunTasks):
                    self._record_request(stream.local_host, message)
            return await send(stream, messages)

        monkeypatch.setattr(MemoryStream, "send", send_recorded)

    def _watch_calls(self, name, calls):
        probe, start = calls.probe, calls.start

        async def probe_recorded(minion, token, acknowledged, until_ms, wait, timeout):
            if until_ms is not None:
                self._record(f"{name} renews leases on {minion.id}", token)
            return await probe(minion, token, acknowledged, until_ms, wait, timeout)

        async def start_recorded(minion, token, task, run, spec, until_ms, timeout):
            now = self.system.clock.monotonic()
            self._record(f"{name} starts {task} on {minion.id}", token)
            if now > self.limits.get(task.batch, now):
                self.late_starts.append(f"{name} starts {task} at {now}")
            if self.sheds:
                self.sheds -= 1
                raise StartRefusedError(StartRefusal.UNHEALTHY)
            return await start(minion, token, task, run, spec, until_ms, timeout)

        calls.probe, calls.start = probe_recorded, start_recorded

    def _record(self, act, token):
        if self.resumed_at is None:
            self.newest_token = max(self.newest_token, token)
        elif token <= self.newest_token:
            self.acts.append(act)

    def _record_request(self, name, message):
        if self.resumed_at is not None and message.batch in self.limits:
            self.acts.append(f"{name} requests tasks of {message.batch}")

    def suspend(self, duration):
        """Let `duration` pass for everybody at once, as if nobody had run."""
        asyncio.get_running_loop().jump(duration)
        self.resumed_at = self.system.clock.monotonic()


@dataclass
class Draw:
    """Hold what is drawn for one order of events."""

    kind: str
    seed: int
    duration: timedelta
    pause: timedelta
    hosts_each: int


def draw_orders(seed, count, kinds, shortest, longest):
    """Return `count` orders, whose suspensions begin at any point between checks."""
    random = Random(seed)
    return [
        Draw(
            kinds[number % len(kinds)],
            random.randrange(10**6),
            random.uniform(shortest, longest) * SECOND,
            random.uniform(0, 40) * MILLISECOND,
            random.choice([1, 2]),
        )
        for number in range(count)
    ]


async def suspend_with_a_waiting_task(recorder, draw, timeout):
    """Suspend all hosts while a task waits as `draw.kind` says; return after it."""
    system = recorder.system
    system.book.default_work = Work(TASK_NEEDS, LONG_WORK)
    name = system.owner(0)
    if draw.kind == "requested elsewhere" and draw.hosts_each > 1:
        name = system.non_owner(0)
    job = make_batch("a" * 16, 2, LONG_WORK)

    async def submit(batch):
        recorder.limits[batch.id] = system.clock.monotonic() + timeout
        await system.submit(name, batch, timeout)

    async with anyio.create_task_group() as group:
        match draw.kind:
            case "resting minion":
                recorder.sheds = 1
            case "full minion":
                for number in range(2):
                    group.start_soon(submit, make_batch(f"{number:016x}", 2, LONG_WORK))
                # The first runs end during the suspension, or just before it.
                await system.clock.sleep(LONG_WORK - 20 * MILLISECOND)
            case "silent minion":
                system.hosts[system.owner(0)].calls.cut = set(system.minions)
                await system.clock.sleep(SECOND)
            case "next step":
                steps = Step(2, TASK_NEEDS, LONG_WORK)
                job = Batch(job.id, "", (steps, Step(2, TASK_NEEDS, LONG_WORK, (0,))))
        group.start_soon(submit, job)
        if draw.kind == "next step":
            await system.clock.sleep(LONG_WORK - 20 * MILLISECOND)
        await system.clock.sleep(draw.pause)
        for running in system.hosts.values():
            running.calls.cut = set()
        recorder.suspend(draw.duration)
        await system.clock.sleep(2 * SECOND)


__all__ = [
    "Draw",
    "Recorder",
    "draw_orders",
    "run_system",
    "suspend_with_a_waiting_task",
]
