"""Check that an evacuated data centre starts no tasks and its callers are served.

Operators evacuate a data centre before maintenance. Running tasks may finish; a task
that starts there later than the users' bound would be interrupted by the maintenance.
"""

from __future__ import annotations

from datetime import timedelta
from random import Random

import anyio
import pytest
from tests.host.load import Load

from brasstray.batch.outcome import BatchOutcome, GiveUpReason
from brasstray_standins.leased_minion import Work
from brasstray_standins.pool_system import (
    TASK_NEEDS,
    PoolSystemSize,
    make_batch,
)

SECOND = timedelta(seconds=1)
# The users' bound on starts after an evacuation was acknowledged. Owners that the store
# refuses have 6 s more, which hosts don't need as they inform one another.
BOUND = 5 * SECOND
THREE_CENTRES = PoolSystemSize(data_centres=3)


def ms(count):
    return timedelta(milliseconds=count)


def starts_between(system, centre, first, last):
    return [at for at in system.starts_in(centre) if first <= at < last]


async def no_fault(system):
    del system


async def kill_owner(system):
    system.kill(system.owner())


async def kill_owners_in_a_row(system):
    for _ in range(2):
        system.kill(system.owner())
        await system.clock.sleep(SECOND)


async def refuse_owner(system):
    system.store.cut.add(system.owner())


async def kill_owner_and_refuse_successor(system):
    system.store.cut.add(system.non_owner())
    system.kill(system.owner())


async def silence_watches_for_a_while(system):
    # Each host abandons its watch after 1.9 s, and a new connection works.
    system.store.silent_watches.update(system.hosts)
    await system.clock.sleep(ms(1_900))
    system.store.silent_watches.clear()


async def silence_watches_of_centre(system):
    inside = (name for name in system.hosts if name.startswith("dc0"))
    system.store.silent_watches.update(inside)


async def refuse_centre(system):
    system.store.cut.update(name for name in system.hosts if name.startswith("dc0"))


async def lose_history(system):
    system.store.compact()


async def drain_owner(system):
    system.hosts[system.owner()].host.drain()


FAULTS = {
    "calm": no_fault,
    "owner killed": kill_owner,
    "owners killed in a row": kill_owners_in_a_row,
    "owner refused by the store": refuse_owner,
    "owner killed, successor refused": kill_owner_and_refuse_successor,
    "watches silent for a while": silence_watches_for_a_while,
    "the data centre hears nothing from the store": silence_watches_of_centre,
    "the data centre is refused by the store": refuse_centre,
    "history lost": lose_history,
    "owner leaves": drain_owner,
}


@pytest.mark.parametrize("offset_ms", [-300, 0, 300])
@pytest.mark.parametrize("inject_fault", FAULTS.values(), ids=FAULTS.keys())
def test_nothing_starts_in_an_evacuated_data_centre(
    play_pools, inject_fault, offset_ms
):
    # A task that starts after the bound would be interrupted by maintenance. Around the
    # time of the evacuation the owner of the pool is killed, drained or refused by the
    # store, or its watch of the store goes silent, so that it may miss the evacuation.
    async def scenario(system):
        async with anyio.create_task_group() as group:
            load = Load(system, group)
            group.start_soon(load.run, 220)
            await system.clock.sleep(SECOND)
            if offset_ms < 0:
                group.start_soon(inject_fault, system)
                await system.clock.sleep(ms(-offset_ms))
            evacuated_at = system.evacuate("dc0")
            if offset_ms >= 0:
                await system.clock.sleep(ms(offset_ms))
                group.start_soon(inject_fault, system)
        return evacuated_at, load

    (evacuated_at, load), system = play_pools(scenario, THREE_CENTRES)
    assert system.book.broken == []
    assert starts_between(system, "dc0", evacuated_at + BOUND, timedelta.max) == []
    assert starts_between(system, "dc0", evacuated_at - SECOND, evacuated_at)
    answered = load.outcomes()
    assert load.succeeded >= len(answered) - 12


def test_callers_of_an_evacuated_data_centre_are_served_elsewhere(play_pools):
    # Half of the minions are evacuated, and the others have capacity for all jobs. No
    # caller is affected, whether its tasks are running then or it submits later.
    async def scenario(system):
        async with anyio.create_task_group() as group:
            load = Load(system, group)
            group.start_soon(load.run, 100)
            await system.clock.sleep(SECOND)
            system.evacuate("dc0")
        return load

    load, system = play_pools(scenario)
    assert load.outcomes() == [BatchOutcome.SUCCEEDED] * 100
    assert max(took for _, _, took in load.results.values()) < ms(200)


def test_queued_tasks_move_to_another_data_centre_at_once(play_pools):
    # All slots of a data centre are taken by long tasks, and a job is queued there, as
    # the other one is full too. The data centre is evacuated, and later the other one
    # has free slots: the job must not stay queued for slots that it will never get.
    size = PoolSystemSize(data_centres=2, hosts_each=2, minions_each=1)

    async def scenario(system):
        system.book.default_work = Work(TASK_NEEDS, ms(700))
        found = {}

        async def submit(job, centre):
            began = system.clock.monotonic()
            batch = make_batch(job * 16, 2, ms(700))
            result = await system.submit(system.owner(centre), batch)
            found[job] = (result.outcome, system.clock.monotonic() - began)

        async with anyio.create_task_group() as group:
            for job, centre in (("a", 0), ("b", 1), ("c", 0)):
                group.start_soon(submit, job, centre)
                await system.clock.sleep(ms(100))
            system.evacuate("dc0")
        return found

    found, system = play_pools(scenario, size)
    outcomes = [outcome for outcome, _ in found.values()]
    assert outcomes == [BatchOutcome.SUCCEEDED] * 3
    assert found["c"][1] < ms(1_450)
    assert [start.minion.data_centre for start in system.book.recorded_starts] == (
        ["dc0"] * 2 + ["dc1"] * 4
    )


def test_jobs_are_refused_at_once_if_every_data_centre_is_evacuated(play_pools):
    # No task can start until operators revoke an evacuation. Callers are refused at
    # once, with the outcome "not run" and the time after which to retry.
    async def scenario(system):
        system.evacuate("dc0")
        system.evacuate("dc1")
        await system.clock.sleep(SECOND)
        began = system.clock.monotonic()
        results = [
            await system.submit(name, make_batch(f"{number:016x}"))
            for number, name in enumerate(system.hosts)
        ]
        return results, system.clock.monotonic() - began

    (results, took), system = play_pools(scenario)
    for result in results:
        assert result.outcome is BatchOutcome.NOT_RUN
        assert result.reason is GiveUpReason.EVACUATED
        assert result.retry_after >= SECOND
    assert took == ms(0)
    assert system.book.starts == []


def test_a_data_centre_is_used_again_within_a_second(play_pools):
    # Half of the minions come back while the others are full, and are used at once.
    async def scenario(system):
        system.evacuate("dc0")
        async with anyio.create_task_group() as group:
            load = Load(system, group)
            group.start_soon(load.run, 100)
            await system.clock.sleep(2 * SECOND)
            resumed = system.resume("dc0")
        return resumed, load

    (resumed, load), system = play_pools(scenario)
    assert load.outcomes() == [BatchOutcome.SUCCEEDED] * 100
    assert starts_between(system, "dc0", resumed, resumed + SECOND)


def test_hosts_that_were_all_restarted_know_of_an_evacuation(play_pools):
    # All hosts are killed while a data centre is evacuated, so none remembers it. A set
    # of evacuated data centres that was not read yet must not count as an empty set.
    async def scenario(system):
        system.evacuate("dc0")
        await system.clock.sleep(SECOND)
        names = {n: str(r.host.identity.data_centre) for n, r in system.hosts.items()}
        for name in names:
            system.kill(name)
        await system.clock.sleep(SECOND)
        began = system.clock.monotonic()
        for name, centre in names.items():
            system.start(name, centre)
        async with anyio.create_task_group() as group:
            load = Load(system, group)
            group.start_soon(load.run, 50)
        return began, load

    (began, load), system = play_pools(scenario)
    assert starts_between(system, "dc0", began, timedelta.max) == []
    assert load.succeeded >= 40


@pytest.mark.parametrize(
    ("centre", "value"),
    [("nowhere", b"{}"), ("", b"{}"), ("dc0/dc1", b"{}"), ("dc0", b"["), ("dc0", b"3")],
)
def test_an_invalid_entry_evacuates_nothing(play_pools, centre, value):
    # Another program has written an entry under the operators' prefix: its data centre
    # does not exist, or its value cannot be parsed. It must not cause an evacuation.
    async def scenario(system):
        system.evacuate(centre, value)
        await system.clock.sleep(SECOND)
        async with anyio.create_task_group() as group:
            load = Load(system, group)
            group.start_soon(load.run, 50)
        return load

    load, system = play_pools(scenario)
    assert load.outcomes() == [BatchOutcome.SUCCEEDED] * 50
    assert system.starts_in("dc0")
    assert system.starts_in("dc1")


@pytest.mark.parametrize("seed", range(12))
def test_no_start_breaks_the_bound_whatever_else_happens(play_pools, seed):
    # Data centres are evacuated and resumed at random, while owners are killed, the
    # store refuses hosts for a while or compacts its history, and watches go silent.
    # A start after the bound would be in a data centre that operators believe empty.
    random = Random(seed)

    async def evacuate_and_resume(system, centre, spans):
        await system.clock.sleep(ms(random.randrange(500, 3_000)))
        evacuated_at = system.evacuate(centre)
        await system.clock.sleep(ms(random.randrange(5_200, 8_000)))
        spans.append((centre, evacuated_at + BOUND, system.resume(centre)))

    async def inject_faults(system):
        for _ in range(6):
            await system.clock.sleep(ms(random.randrange(300, 1_500)))
            centre = random.randrange(3)
            match random.randrange(4):
                case 0 if len(system.hosts) > 7:
                    system.kill(system.owner(centre))
                case 1:
                    system.store.cut.clear()
                    system.store.cut.update(random.sample(sorted(system.hosts), 3))
                case 2:
                    system.store.silent_watches.clear()
                    chosen = random.sample(sorted(system.hosts), 3)
                    system.store.silent_watches.update(chosen)
                case _:
                    system.store.compact()

    async def scenario(system):
        spans = []
        async with anyio.create_task_group() as group:
            load = Load(system, group)
            group.start_soon(load.run, 250)
            group.start_soon(inject_faults, system)
            for centre in random.sample(system.centres, 2):
                group.start_soon(evacuate_and_resume, system, centre, spans)
        return spans

    spans, system = play_pools(scenario, THREE_CENTRES, seed=seed)
    assert system.book.broken == []
    assert len(spans) == 2
    for centre, first, last in spans:
        assert starts_between(system, centre, first, last) == []
