"""Check which host owns a pool among hosts of different power, and its successors."""

from __future__ import annotations

from datetime import timedelta

import anyio
import pytest
from tests.host.load import Load, under_load

from brasstray.batch.outcome import BatchOutcome
from brasstray.host.succession import (
    CLAIM_DELAY_STEP,
    MIN_TENURE,
    Succession,
    rank_successors,
    should_hand_over,
)
from brasstray_standins.pool_system import PoolSystemSize

SECOND = timedelta(seconds=1)
FLEET = PoolSystemSize(data_centres=1, hosts_each=12, minions_each=4, strong_each=3)


@pytest.mark.parametrize(
    ("named", "here", "claim_delay"),
    [
        ((), "a", 0),
        (("a", "b", "c"), "a", 0),
        (("a", "b", "c"), "c", 2),
        (("a", "b", "c"), "d", 3),
    ],
)
def test_hosts_claim_in_the_order_that_the_owner_named(named, here, claim_delay):
    succession = Succession(here)
    succession.set_successors(named)
    assert succession.claim_delay == claim_delay * CLAIM_DELAY_STEP


@pytest.mark.parametrize(
    ("powers", "first"),
    [
        ({"a": 0.5, "b": 2.0, "c": 2.0, "d": 0.5}, ("b", "c", "a")),
        ({"a": 1.0}, ("a",)),
        ({}, ()),
    ],
)
def test_successors_are_ranked_by_power(powers, first):
    assert rank_successors(powers) == first


@pytest.mark.parametrize(
    ("own", "others", "held", "moved"),
    [
        (0.5, [2.0], MIN_TENURE, True),
        (0.5, [2.0], MIN_TENURE / 2, False),
        (2.0, [2.0, 2.1], SECOND * 60, False),
        (2.0, [0.5], SECOND * 60, False),
        (0.5, [], SECOND * 60, False),
    ],
)
def test_a_pool_moves_to_a_much_stronger_host_only(own, others, held, moved):
    assert should_hand_over(own, others, held) is moved


def is_strong(name):
    return int(name.rpartition("-h")[2]) < FLEET.strong_each


def current_token(system):
    return system.store.entries("brasstray/pools/")[0].version


def test_a_strong_host_takes_over_the_pool_and_keeps_it(play_pools):
    # All hosts start at about the same time, and the first to claim the pool owns it. A
    # weak owner would read the ends of tasks late, so it hands the pool over, once.
    async def scenario(system):
        await system.clock.sleep(3 * MIN_TENURE)
        first, first_token = system.owner(), current_token(system)
        await system.clock.sleep(10 * MIN_TENURE)
        return first, system.owner(), current_token(system) - first_token

    (first, later, takeovers), _ = play_pools(scenario, FLEET)
    assert is_strong(first)
    assert later == first
    assert takeovers == 0


@pytest.mark.parametrize("killed", [1, 2])
def test_one_claim_is_written_when_strong_hosts_die(play_pools, killed):
    # The owner dies, alone or with its first successor, and eleven hosts notice. If all
    # of them claimed, all but one of the writes would be wasted, and a weak host might
    # get the pool.
    async def scenario(system):
        await system.clock.sleep(3 * MIN_TENURE)
        before = current_token(system)
        for _ in range(killed):
            strong = sorted(name for name in system.hosts if is_strong(name))
            owner = system.owner()
            system.kill(owner)
            if killed > 1:
                system.kill(next(name for name in strong if name != owner))
                break
        await system.clock.sleep(SECOND)
        return system.owner(), current_token(system) - before

    (owner, claims), _ = play_pools(scenario, FLEET)
    assert is_strong(owner)
    assert claims == 1


def test_a_pool_moves_under_load_and_no_job_is_lost(play_pools):
    # All strong hosts are down and a weak one owns the pool. They return, and the pool
    # moves to one of them while callers wait. Every job succeeds.
    async def scenario(system):
        for number in range(3):
            system.kill(f"dc0-h{number}")
        await system.clock.sleep(SECOND)
        weak = system.owner()
        async with anyio.create_task_group() as group:
            load = Load(system, group)
            group.start_soon(load.run, 250)
            await system.clock.sleep(SECOND)
            for number in range(3):
                system.start(f"dc0-h{number}", "dc0")
            await system.clock.sleep(3 * MIN_TENURE)
            strong = system.owner()
        return load, weak, strong

    (load, weak, strong), system = play_pools(scenario, FLEET)
    assert not is_strong(weak)
    assert is_strong(strong)
    assert load.outcomes() == [BatchOutcome.SUCCEEDED] * 250
    assert system.book.broken == []


def test_the_strongest_host_of_each_data_centre_dies_under_load(play_pools):
    # The owners of all pools die at the same time, as by a fault that strong hosts have
    # in common. Their successors take over, so jobs of other hosts are only delayed.
    size = PoolSystemSize(data_centres=3, hosts_each=4, minions_each=4, strong_each=2)

    async def scenario(system):
        async def inject_fault():
            for centre in range(3):
                system.kill(system.owner(centre))

        return await under_load(system, inject_fault, jobs=150)

    load, system = play_pools(scenario, size)
    assert system.book.broken == []
    assert set(load.outcomes()) == {BatchOutcome.SUCCEEDED}
