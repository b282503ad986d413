"""Check that a job sent again after several takeovers does not run beside its runs."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta

import anyio
import pytest

from brasstray.batch.ids import BatchId
from brasstray.batch.task_name import TaskName
from brasstray_standins.leased_minion import Work
from brasstray_standins.pool_system import TASK_NEEDS, PoolSystemSize, make_batch

SIZE = PoolSystemSize(data_centres=2, hosts_each=5, minions_each=3)
# How long the callers in the users' programs wait before they submit a job again.
RESEND_PAUSE = timedelta(milliseconds=1_300)
JOB, NEIGHBOUR = "a" * 16, "b" * 16
# A host that none of the killed owners is, and that other jobs are submitted to.
LAST_HOST = "dc0-h4"


def ms(count):
    return timedelta(milliseconds=count)


@dataclass
class Way:
    """Describe how owners fail and where the caller submits its job again.

    After the first owner, one owner fails at the end of each of `tenures_ms`. The first
    host of the job dies with its pool's first owner, or if `caller_left` only the
    connection of its caller breaks. `silent` owners keep their connections open. The
    minions with the job's runs are out of reach of the owners after number `hide_after`
    of them. `neighbours` tasks of another job run on the same minions.
    """

    tenures_ms: tuple[int, ...]
    resend_to: str
    caller_left: bool = False
    silent: bool = False
    hide_after: int | None = None
    neighbours: int = 0


WAYS = {
    # Its home pool has no owner, so the job goes to a pool that does not know its runs.
    "vacant-pool": Way((450, 450), "dc0-h4"),
    # The last owner waits for the minion until its recovery timeout, then starts tasks.
    "unreachable-minion": Way((300, 300), "dc0-h4", hide_after=2),
    # The stop of the job is sent to a pool that has no owner.
    "caller-left": Way((450, 450), "dc1-h0", caller_left=True),
    # Leases are per minion: renewing them for one job renews them for all.
    "runs-of-another-job": Way((400, 400), "dc1-h0", neighbours=3),
    # Each owner fails before its recovery is over, and is missed only after a silence.
    "silent-owners": Way((30, 30, 30), "dc1-h0", silent=True),
}


class Failures:
    """Inject the failures of one way."""

    def __init__(self, system, way):
        self.system, self.way = system, way
        self.silenced = []

    def fail(self, name):
        if not self.way.silent:
            self.system.kill(name)
            return
        running = self.system.hosts.pop(name)
        running.gate.close()
        self.silenced.append(running)

    def owners(self):
        return [
            name
            for name, running in self.system.hosts.items()
            if name.startswith("dc0") and running.host.owner is not None
        ]

    async def fail_in_a_row(self):
        for number, tenure_ms in enumerate(self.way.tenures_ms, 1):
            while not self.owners():
                await self.system.clock.sleep(ms(1))
            if number == self.way.hide_after:
                self.hide_runs(self.owners())
            await self.system.clock.sleep(ms(tenure_ms))
            self.fail(self.system.owner())

    def hide_runs(self, except_for):
        held = [name for name, minion in self.system.minions.items() if minion.running]
        for name, running in self.system.hosts.items():
            if name.startswith("dc0") and name not in except_for:
                running.calls.cut.update(held)


async def submit(system, name, batch, scope):
    system.hosts[name].callers.append(scope)
    with scope:
        await system.submit(name, batch, ms(6_000))


@pytest.mark.parametrize("way", WAYS.values(), ids=WAYS)
def test_a_job_sent_again_does_not_run_beside_its_runs(play_pools, way):
    """Runs have ended when their job is submitted again, after several takeovers."""

    async def scenario(system):
        system.book.default_work = Work(TASK_NEEDS, ms(3_000))
        failures = Failures(system, way)
        first_owner = system.owner()
        first = system.non_owner() if way.caller_left else first_owner
        batch = make_batch(JOB, 3 if way.neighbours else 2, ms(3_000))
        async with anyio.create_task_group() as group:
            if way.neighbours:
                other = make_batch(NEIGHBOUR, way.neighbours, ms(5_000))
                for index in range(way.neighbours):
                    name = TaskName(BatchId(NEIGHBOUR), 0, index)
                    system.book.work_by_task[name] = Work(TASK_NEEDS, ms(5_000))
                scope = anyio.CancelScope()
                group.start_soon(submit, system, LAST_HOST, other, scope)
                await system.clock.sleep(ms(20))
            scope = anyio.CancelScope()
            group.start_soon(submit, system, first, batch, scope)
            await system.clock.sleep(ms(300))
            assert sum(len(m.running) for m in system.minions.values()) >= 2
            if way.silent:
                system.kill(first_owner)
            else:
                failures.fail(first_owner)
            group.start_soon(failures.fail_in_a_row)
            if way.caller_left:
                await system.clock.sleep(ms(10))
                scope.cancel()
            await system.clock.sleep(RESEND_PAUSE)
            await submit(system, way.resend_to, batch, anyio.CancelScope())
            for running in failures.silenced:
                running.terminate()
            group.cancel_scope.cancel()

    _, system = play_pools(scenario, SIZE)
    assert system.book.broken == []
