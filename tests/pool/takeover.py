"""Hand a pool from one owner to the next while a task is running."""

from __future__ import annotations

from dataclasses import dataclass, field
from datetime import timedelta

import anyio
from tests.conftest import run_virtual

from brasstray.batch.ids import BatchId, FencingToken, PoolId
from brasstray.batch.resources import Resources
from brasstray.batch.task_name import TaskName
from brasstray.clock.loop import LoopClock
from brasstray.job.ids import DataCentreName, MinionId, ServiceName
from brasstray.peer.message.run_tasks import RunTasks
from brasstray.pool.errors import MinionNoResponseError
from brasstray.pool.minion_entry import MinionEntry
from brasstray.pool.owner import PoolOwner
from brasstray.pool.timing import PoolTiming
from brasstray_standins.leased_minion import LeasedMinion, RunRecorder, Work, tick_all
from brasstray_standins.leased_minions import LeasedMinions

TICK = timedelta(milliseconds=5)
JOB = BatchId("a" * 16)
TASK = TaskName(JOB, 0, 0)
NEEDS = Resources(6_800, 64)
# Capacity for two tasks of the usual size.
CAPACITY = Resources(16_000, 32_768)


class NullObject:
    """Accept every method call, and do nothing."""

    def __getattr__(self, name):
        return lambda *_, **__: None


class NoOtherPools:
    """Report that there are no other pools."""

    def loads(self):
        return {}

    def reserve_slots(self, pool, count):
        raise AssertionError(pool, count)


class Requester:
    """Record the messages about the tasks that were asked for."""

    name = "requester"

    # Later than any time in a test: the requester is never silent.
    last_contact = timedelta(days=1)

    def __init__(self):
        self.messages = []

    def send(self, message):
        self.messages.append(message)

    def send_deferred(self, message):
        self.messages.append(message)


class LossyMinions(LeasedMinions):
    """Drop the replies to the probes whose numbers are in `lost`, counted from 0.

    Only minions in `affected` are concerned. Each has a count of its own, which does
    not include lease renewals.
    """

    def __init__(self, *args):
        super().__init__(*args)
        self.lost = frozenset()
        self.affected = set()
        self._probes = {}

    async def probe(self, minion, token, acknowledged, until_ms, wait, timeout):
        reply = super().probe(minion, token, acknowledged, until_ms, wait, timeout)
        if until_ms is not None or minion.id not in self.affected:
            return await reply
        number = self._probes.get(minion.id, 0)
        self._probes[minion.id] = number + 1
        answer = await reply
        if number not in self.lost:
            return answer
        await self._clock.sleep(timeout)
        raise MinionNoResponseError("lost")


@dataclass
class TakeoverHarness:
    """Hold the minions of a pool, and start its owners one after the other."""

    group: anyio.abc.TaskGroup
    minions: int
    duration: timedelta = timedelta(seconds=3)
    tick: timedelta = TICK
    confirm_delay: timedelta = timedelta(milliseconds=4)
    newest_token: int = 0
    confirmations: int = 0
    stand_ins: dict[MinionId, LeasedMinion] = field(default_factory=dict)

    def __post_init__(self):
        self.clock = LoopClock()
        self.timing = PoolTiming()
        self.recorder = RunRecorder(Work(NEEDS, self.duration))
        for number in range(self.minions):
            entry = MinionEntry(
                MinionId(f"m{number}"),
                ServiceName("s"),
                DataCentreName("dc"),
                f"m{number}",
                1,
                CAPACITY,
                (),
                draining=False,
            )
            self.stand_ins[entry.id] = LeasedMinion(entry, self.clock, self.recorder)
        self.group.start_soon(
            tick_all, lambda: list(self.stand_ins.values()), self.clock, self.tick
        )

    @property
    def entries(self):
        return [stand_in.entry for stand_in in self.stand_ins.values()]

    def calls(self):
        """Return the calls to the minions for one more owner."""
        return LossyMinions(self.stand_ins, self.clock, self.group)

    def start_owner(self, token, calls):
        """Start an owner that knows all minions; return it and its cancel scope."""
        self.newest_token = max(self.newest_token, token)

        async def confirm_ownership():
            self.confirmations += 1
            await self.clock.sleep(self.confirm_delay)
            return self.newest_token == token

        owner = PoolOwner(
            PoolId("dc"),
            FencingToken(token),
            calls,
            self.clock,
            self.timing,
            1.0,
            NoOtherPools(),
            NullObject(),
            confirm_ownership,
            self.entries,
            contact_age=timedelta(0),
        )
        scope = anyio.CancelScope()

        async def run():
            with scope:
                await owner.run()

        self.group.start_soon(run)
        return owner, scope

    async def list_all_minions(self, owner):
        """Give a running owner the complete list of minions."""
        await self.clock.sleep(timedelta(milliseconds=1))
        owner.update_minions(self.entries)

    def where(self, task=TASK):
        """Return the minion on which `task` runs."""
        return next(
            i for i, stand_in in self.stand_ins.items() if task in stand_in.running
        )


def request(*, claimed, job=JOB, width=1):
    """Return a request for the tasks of a job, or a claim to them."""
    return RunTasks(
        batch=job,
        step=0,
        indices=tuple(range(width)),
        width=width,
        queue="q",
        service="s",
        spec="",
        cpu_millis=NEEDS.cpu_millis,
        memory_mb=NEEDS.memory_mb,
        gpus=0,
        estimate_ms=3_000,
        due_ms=5_000,
        useful_ms=15_000,
        limit_ms=15_000,
        priority=0,
        attempts=3,
        claimed=claimed,
    )


def run_takeover(scenario, minions, **options):
    """Run `scenario` on a pool of its own; return the harness and its result."""

    async def main():
        async with anyio.create_task_group() as group:
            pool = TakeoverHarness(group, minions, **options)
            result = await scenario(pool)
            group.cancel_scope.cancel()
        return pool, result

    return run_virtual(main)
