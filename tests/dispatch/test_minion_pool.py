"""Test the assignment of slots, credits and the ejection of minions."""

from __future__ import annotations

from dataclasses import dataclass, field
from datetime import timedelta
from random import Random

import anyio
import pytest
from tests.conftest import run_virtual

from brasstray.clock.loop import LoopClock
from brasstray.dispatch.minion_pool import MinionPool
from brasstray.dispatch.policies import (
    FirstComeFirst,
    RoundRobin,
    ShortestRemainingFirst,
    SlotCredits,
    TwoChoices,
)
from brasstray.dispatch.timing import DispatchTiming
from brasstray.job.ids import CallerName, DataCentreName, KeyText
from brasstray.job.job_id import JobId
from brasstray.minion.errors import RetryReason
from brasstray.store.host_kind import HostKind, HostState
from brasstray.store.listed_host import ListedHost
from brasstray_standins.memory_system import LEAVE, RERUN

TIMING = DispatchTiming()


@dataclass
class Job:
    sequence_number: int = 0
    unfinished: int = 1
    unsent: int = 1
    weight: float = 1.0
    service: str = LEAVE
    got: list[str] = field(default_factory=list)


def job_id(number):
    return JobId(caller=CallerName("c"), key=KeyText(str(number)))


def listed(number, **changes):
    host = ListedHost(
        name=f"m{number}",
        kind=HostKind.MINION,
        data_centre=DataCentreName("dc"),
        address="127.0.0.1",
        port=1,
        service=LEAVE,
        slots=2,
    )
    return host.model_copy(update=changes)


def pool_of(minions, slots=None, order=None):
    pool = MinionPool(
        LoopClock(), Random(1), TIMING, slots or TwoChoices(), order or RoundRobin()
    )
    pool.update(minions)
    return pool


def run_scenario(scenario):
    return run_virtual(scenario)


@pytest.mark.parametrize(
    ("order", "expected"),
    [
        (FirstComeFirst(), [0, 0, 0, 1, 1, 2]),
        (RoundRobin(), [1, 0, 2, 1, 0, 0]),
        (ShortestRemainingFirst(), [2, 1, 1, 0, 0, 0]),
    ],
    ids=str,
)
def test_jobs_get_slots_in_policy_order(order, expected):
    async def scenario():
        pool = pool_of([listed(0, slots=1)], order=order)
        blocker = await pool.acquire(Job())
        started = []

        async def run_tasks(job):
            while job.unsent:
                load = await pool.acquire(job)
                job.unsent -= 1
                job.unfinished -= 1
                started.append(job.sequence_number)
                group.start_soon(finish, load)

        async def finish(load):
            await anyio.sleep(0.01)
            pool.release(load)

        async with anyio.create_task_group() as group:
            for number, tasks in ((1, 2), (0, 3), (2, 1)):
                group.start_soon(run_tasks, Job(number, tasks, tasks))
                await anyio.sleep(0.001)
            pool.release(blocker)
        return started

    assert run_scenario(scenario) == expected


def test_slots_are_filled_only_with_credits():
    async def scenario():
        pool = pool_of([listed(0), listed(1)], SlotCredits())
        with anyio.move_on_after(1) as waited:
            await pool.acquire(Job())
        assert waited.cancelled_caught
        pool.add_credits({"m1": 1})
        load = await pool.acquire(Job())
        assert load.listed.name == "m1"
        assert pool.yield_credits(LEAVE, 9) == {}
        pool.release(load)
        assert pool.yield_credits(LEAVE, 9) == {"m1": 1}
        assert pool.held_credits == 0

    run_scenario(scenario)


def test_a_full_reply_drops_the_credit():
    """After a network partition, two hosts can hold the same credit.

    The second start is refused as full. The credit must be dropped, otherwise every
    later start that uses it is refused as well.
    """

    async def scenario():
        pool = pool_of([listed(0)], SlotCredits())
        pool.add_credits({"m0": 2})
        load = await pool.acquire(Job())
        pool.record_failure(load, job_id(1), RetryReason.FULL)
        pool.release(load)
        assert pool.held_credits == 1

    run_scenario(scenario)


@pytest.mark.parametrize(
    ("minions", "service", "eligible"),
    [
        ([listed(0)], LEAVE, {"m0"}),
        ([listed(0), listed(0, service=RERUN)], RERUN, {"m0"}),
        ([listed(0), listed(1, state=HostState.LEAVING)], LEAVE, {"m0"}),
        ([listed(0), listed(1, service=RERUN)], RERUN, {"m1"}),
    ],
)
def test_only_available_minions_of_the_service_are_chosen(minions, service, eligible):
    async def scenario():
        pool = pool_of(minions)
        loads = [await pool.acquire(Job(service=service)) for _ in range(2)]
        return {load.listed.name for load in loads}

    assert run_scenario(scenario) == eligible


def test_a_minion_that_fails_several_jobs_is_ejected_and_readmitted():
    """A minion that fails every task at once always has free slots.

    Without ejection it attracts most tasks and fails them all. After the ejection it
    gets one task on probation; a success readmits it.
    """

    async def scenario():
        pool = pool_of([listed(number) for number in range(4)])
        failing = pool.get("m0")
        for number in range(TIMING.eject_after_failures):
            failing.outstanding += 1
            pool.record_failure(failing, job_id(number), RetryReason.TASK_FAILED)
            pool.release(failing)
        assert pool.ejected == ["m0"]
        await anyio.sleep(TIMING.min_ejection / timedelta(seconds=1) + 0.1)
        assert failing.can_start(pool._clock.monotonic())
        failing.outstanding = 1
        assert not failing.can_start(pool._clock.monotonic())
        failing.health.record_success()
        assert failing.can_start(pool._clock.monotonic())

    run_scenario(scenario)


def test_a_minion_that_refuses_connections_is_ejected_at_once():
    async def scenario():
        pool = pool_of([listed(number) for number in range(4)])
        load = pool.get("m0")
        load.outstanding += 1
        pool.record_failure(load, job_id(1), RetryReason.CONNECTION_REFUSED)
        assert pool.ejected == ["m0"]

    run_scenario(scenario)


def test_a_job_that_fails_everywhere_ejects_no_minion():
    async def scenario():
        pool = pool_of([listed(number) for number in range(4)])
        for load in pool.minions:
            for _ in range(5):
                load.outstanding += 1
                pool.record_failure(load, job_id(7), RetryReason.TASK_FAILED)
                pool.release(load)
        assert pool.ejected == []

    run_scenario(scenario)


def test_ejections_are_limited_to_a_share_of_the_minions():
    async def scenario():
        pool = pool_of([listed(number) for number in range(10)])
        for load in pool.minions:
            for number in range(3):
                load.outstanding += 1
                pool.record_failure(load, job_id(number), RetryReason.SILENT)
                pool.release(load)
        assert len(pool.ejected) == 3

    run_scenario(scenario)


def test_a_peers_ejection_counts_as_evidence():
    async def scenario():
        pool = pool_of([listed(number) for number in range(4)])
        pool.record_peer_ejections(["m0", "unknown"])
        load = pool.get("m0")
        load.outstanding += 1
        pool.record_failure(load, job_id(1), RetryReason.CONNECTION_LOST)
        pool.release(load)
        assert pool.ejected == ["m0"]

    run_scenario(scenario)
