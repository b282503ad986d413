"""Check that orphaned runs end in time however often their pool is taken over."""

from __future__ import annotations

from datetime import timedelta

import anyio
import pytest

from brasstray_standins.leased_minion import Work
from brasstray_standins.pool_system import TASK_NEEDS, PoolSystemSize, make_batch

SIZE = PoolSystemSize(data_centres=2, hosts_each=3, minions_each=3)
# How long the callers in the users' programs wait before they submit a job again.
RESEND_PAUSE = timedelta(milliseconds=1_300)
JOB = "a" * 16


def ms(count):
    return timedelta(milliseconds=count)


async def kill_next_owner(system, tenure):
    """Kill the owner of the first data centre `tenure` after it took the pool."""
    while not any(
        running.host.owner is not None
        for name, running in system.hosts.items()
        if name.startswith("dc0")
    ):
        await system.clock.sleep(ms(1))
    await system.clock.sleep(tenure)
    system.kill(system.owner())


@pytest.mark.parametrize("tenure_ms", [30, 100, 200, 400])
def test_orphaned_runs_end_before_the_job_is_sent_again(play_pools, tenure_ms):
    """A job submitted again elsewhere does not run alongside its orphaned runs."""

    async def scenario(system):
        system.book.default_work = Work(TASK_NEEDS, ms(4_000))
        batch = make_batch(JOB, 2, ms(4_000))
        first = system.owner()
        async with anyio.create_task_group() as group:
            scope = anyio.CancelScope()
            system.hosts[first].callers.append(scope)
            group.start_soon(submit, system, first, batch, scope)
            await system.clock.sleep(ms(300))
            began = system.clock.monotonic()
            system.kill(first)
            group.start_soon(kill_in_a_row, system, tenure_ms)
            await system.clock.sleep(RESEND_PAUSE)
            assert system.clock.monotonic() - began == RESEND_PAUSE
            await submit(system, system.owner(1), batch, anyio.CancelScope())

    _, system = play_pools(scenario, SIZE)
    assert system.book.broken == []


async def kill_in_a_row(system, tenure_ms):
    for _ in range(2):
        await kill_next_owner(system, ms(tenure_ms))


async def submit(system, name, batch, scope):
    with scope:
        await system.submit(name, batch, ms(6_000))
