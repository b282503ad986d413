"""Check runs and jobs while the owners of a pool die in a row."""

from __future__ import annotations

import os
from collections import Counter
from datetime import timedelta
from random import Random

import anyio
import pytest
from tests.host.storm import CALL_FAULTS, MAX_CALL_DELAY

from brasstray_standins.call_faults import RandomCallFaults
from brasstray_standins.leased_minion import Work
from brasstray_standins.pool_system import TASK_NEEDS, PoolSystemSize, make_batch

SIZE = PoolSystemSize(
    data_centres=2, hosts_each=8, minions_each=3, minion_clock_rate=0.98
)
RESEND_PAUSE = timedelta(milliseconds=1_300)
LONG_TASK = timedelta(milliseconds=4_000)
JOB = "a" * 16
TENURES_MS = [
    (50,),
    (150,),
    (250,),
    (350,),
    (450,),
    (550,),
    (650,),
    (50, 250, 450),
    (450, 50, 250),
    (250, 550, 50),
]
# Set this variable to draw more series by hand.
SEEDS = int(os.environ.get("OWNER_SERIES_SEEDS", "8"))


def ms(count):
    return timedelta(milliseconds=count)


@pytest.mark.parametrize("beside", [False, True], ids=["alone", "beside"])
@pytest.mark.parametrize("killed", [1, 2, 3, 4])
@pytest.mark.parametrize("tenures", TENURES_MS, ids=str)
def test_job_sent_again_after_owners_died_in_a_row(play_pools, tenures, killed, beside):
    """No orphaned run meets its resent job, and no living caller's task restarts."""

    async def scenario(system):
        system.book.default_work = Work(TASK_NEEDS, LONG_TASK)
        series = Series(system)
        async with anyio.create_task_group() as group:
            await series.play(group, tenures, killed, beside)
        return series

    series, system = play_pools(scenario, SIZE)
    assert system.book.broken == []
    assert series.restarted() == []


@pytest.mark.parametrize("seed", range(SEEDS))
def test_living_callers_keep_their_runs_in_a_drawn_series(play_pools, seed):
    """No task of a living coordinator restarts, whatever the rhythm of takeovers."""
    tenures = draw_tenures(Random(f"r{seed}"))

    async def scenario(system):
        system.book.default_work = Work(TASK_NEEDS, LONG_TASK)
        series = Series(system)
        async with anyio.create_task_group() as group:
            await series.play(group, tenures, len(tenures), beside=True)
        return series

    series, system = play_pools(scenario, SIZE, seed=seed, schedule=seed)
    assert system.book.broken == []
    assert series.restarted() == []


@pytest.mark.parametrize("seed", range(SEEDS))
def test_job_sent_again_after_a_drawn_series_of_owners(play_pools, seed):
    """No orphaned run meets its resent job while calls to minions get lost as well."""
    random = Random(f"owner series {seed}")
    tenures = draw_tenures(random)

    async def scenario(system):
        system.book.default_work = Work(TASK_NEEDS, LONG_TASK)
        for running in system.hosts.values():
            running.calls.random_faults = RandomCallFaults(
                random, *random.choice(CALL_FAULTS), MAX_CALL_DELAY
            )
        series = Series(system)
        async with anyio.create_task_group() as group:
            await series.play(group, tenures, len(tenures), random.random() < 0.7)

    _, system = play_pools(scenario, SIZE, seed=seed, schedule=seed)
    assert system.book.broken == []


def draw_tenures(random):
    """Return the tenures of one to five owners in ms, from 10 to 1,000."""
    return [round(10 * 100 ** random.random()) for _ in range(random.randint(1, 5))]


class Series:
    """Kill the owner that coordinates a job, and then its successors in a row."""

    def __init__(self, system):
        self._system = system
        self.coordinators = {}

    def restarted(self):
        """Return the tasks that started again although their coordinator lives."""
        starts = Counter(self._system.book.starts)
        return [
            str(task)
            for task, count in starts.items()
            if count > 1 and self.coordinators.get(task.batch) in self._system.hosts
        ]

    async def play(self, group, tenures, killed, beside):
        system = self._system
        first = system.owner()
        scope = anyio.CancelScope()
        system.hosts[first].callers.append(scope)
        group.start_soon(self._submit, first, JOB, 2, scope)
        if beside:
            self._submit_beside(group, first)
        await system.clock.sleep(ms(300))
        system.kill(first)
        group.start_soon(self._kill_successors, tenures, killed)
        await system.clock.sleep(RESEND_PAUSE)
        await self._submit(system.owner(1), JOB, 2, anyio.CancelScope())

    def _submit_beside(self, group, first):
        """Fill the minions with jobs of other hosts in the same data centre."""
        hosts = sorted(n for n in self._system.hosts if n.startswith("dc0"))
        for number, name in enumerate(hosts[-2:]):
            job = f"{number:016x}"
            self.coordinators[job] = name
            scope = anyio.CancelScope()
            self._system.hosts[name].callers.append(scope)
            group.start_soon(self._submit, name, job, 2, scope)

    async def _submit(self, name, job, width, scope):
        with scope:
            batch = make_batch(job, width, LONG_TASK)
            await self._system.submit(name, batch, ms(8_000))

    async def _kill_successors(self, tenures, killed):
        for number in range(killed):
            await self._kill_next_owner(ms(tenures[number % len(tenures)]))

    async def _kill_next_owner(self, tenure):
        system = self._system
        while not any(
            running.host.owner is not None
            for name, running in system.hosts.items()
            if name.startswith("dc0")
        ):
            await system.clock.sleep(ms(1))
        await system.clock.sleep(tenure)
        system.kill(system.owner())
