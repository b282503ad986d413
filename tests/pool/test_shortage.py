"""Check what is served, and for whom, when demand exceeds the capacity.

The bounds are the callers' targets. The patterns are the load of a closing with two
data centres, in which each host gets an exact part of the jobs.
"""

from __future__ import annotations

from datetime import timedelta

import anyio
import pytest
from opentelemetry.metrics import NoOpMeterProvider
from tests.conftest import SCHEDULE_SEED, run_virtual
from tests.pool.shortage_load import Mix

from brasstray.batch.outcome import BatchOutcome
from brasstray.metrics.pool_metrics import PoolMetrics
from brasstray_standins.pool_system import PoolSystem, PoolSystemSize

SIZE = PoolSystemSize(data_centres=2, minions_each=16, prioritize=True)
SECONDS = 5
GOODPUT = 0.9
URGENT_ON_TIME = 0.95
FAIR = 0.1
REFUSED_WITHIN = timedelta(milliseconds=50)
WAVE_SECONDS = 1.5


def equal(system):
    return lambda _: dict.fromkeys(sorted(system.hosts), 1)


def one_pushes(system):
    return lambda _: {n: 10 if n == "dc0-h1" else 1 for n in sorted(system.hosts)}


def wave(system):
    def weights(since):
        high = f"dc{int(since / WAVE_SECONDS) % 2}"
        return {n: 5 if n.startswith(high) else 1 for n in sorted(system.hosts)}

    return weights


async def lose_a_quarter(system):
    await system.clock.sleep(timedelta(seconds=SECONDS / 2))
    for name in [m for m in system.minions if int(m.rpartition("-m")[2]) % 4 == 0]:
        system.set_draining(name)


async def lose_nothing(_):
    pass


# Factors of the three kinds, weights of the hosts, and what happens meanwhile.
PATTERNS = {
    "all kinds at 1.5": ((1.5, 1.5, 1.5), equal, lose_nothing),
    "all kinds at 2": ((2, 2, 2), equal, lose_nothing),
    "all kinds at 3": ((3, 3, 3), equal, lose_nothing),
    "the lowest kind at 4": ((1, 1, 4), equal, lose_nothing),
    "one caller pushes": ((1.5, 1.5, 1.5), one_pushes, lose_nothing),
    "a wave moves on": ((1, 1, 1), wave, lose_nothing),
    "a quarter is lost": ((1.3, 1.3, 1.3), equal, lose_a_quarter),
}


async def play(factors, weights, meanwhile):
    async with anyio.create_task_group() as group:
        metrics = PoolMetrics(NoOpMeterProvider().get_meter("test"))
        system = PoolSystem(group, metrics, SIZE, 1)
        system.start_all()
        await system.settle()
        group.start_soon(meanwhile, system)
        mix = await Mix(system).run(SECONDS, factors, weights(system))
        group.cancel_scope.cancel()
    return mix


@pytest.fixture(scope="module")
def plays():
    """Return a function that plays a pattern once for all checks of it."""
    known = {}

    def mix(name):
        if name not in known:
            known[name] = run_virtual(lambda: play(*PATTERNS[name]), SCHEDULE_SEED)
        return known[name]

    return mix


on_patterns = pytest.mark.parametrize(
    "name", PATTERNS, ids=lambda name: name.replace(" ", "-")
)


@on_patterns
def test_capacity_goes_to_answers_on_time(plays, name):
    # Guards against capacity that is spent on answers that come too late.
    mix = plays(name)
    lost = 0.125 if name == "a quarter is lost" else 0
    demand = sum(a.kind.work for a in mix.of()) / (mix.slots * (SECONDS - 1))
    assert mix.goodput() >= GOODPUT * min(1 - lost, demand)
    assert mix.system.book.broken == []


@on_patterns
def test_the_most_urgent_kind_is_on_time(plays, name):
    # Guards against a priority that decides nothing.
    assert plays(name).on_time(priority=0) >= URGENT_ON_TIME


@on_patterns
def test_a_refused_job_has_not_started(plays, name):
    # Guards against a job that is called not run though a task of it has started.
    started = {task.batch for task in plays(name).system.book.starts}
    assert not started & {a.batch for a in plays(name).answers if a.refused}


@on_patterns
def test_refusals_come_at_once(plays, name):
    # Guards against callers that wait for an answer that is known to be lost.
    refused = [a for a in plays(name).of() if a.refused]
    assert max((a.took for a in refused), default=timedelta(0)) <= REFUSED_WITHIN


@on_patterns
def test_no_caller_waits_until_it_gives_up(plays, name):
    # Guards against capacity that is spent on jobs whose rest then never gets any.
    ends = [a.result.outcome for a in plays(name).of()]
    assert ends.count(BatchOutcome.UNKNOWN) == 0


@on_patterns
def test_the_lowest_kind_does_not_starve(plays, name):
    assert plays(name).on_time(priority=2) > 0


@on_patterns
def test_equal_callers_get_equal_shares(plays, name):
    # Guards against callers that get less since another pushes, or by where they are.
    mix = plays(name)
    hosts = [h for h in sorted(mix.system.hosts) if h != "dc0-h1"]
    shares = [mix.on_time(hosts=[host]) for host in hosts]
    mean = sum(shares) / len(shares)
    assert all(abs(share - mean) <= FAIR * mean for share in shares)


async def kill_owner(system):
    await system.clock.sleep(timedelta(seconds=2))
    system.kill(system.owner(0))


async def kill_both_owners(system):
    await system.clock.sleep(timedelta(seconds=2))
    for centre in range(SIZE.data_centres):
        system.kill(system.owner(centre))


async def kill_owner_beside_an_evacuation(system):
    await system.clock.sleep(timedelta(seconds=2))
    system.evacuate("dc1")
    system.kill(system.owner(0))


@pytest.mark.parametrize(
    "fail", [kill_owner, kill_both_owners, kill_owner_beside_an_evacuation]
)
def test_the_successor_of_an_owner_continues_the_order(fail):
    # Guards against callers that starve, or jobs that are called not run though they
    # have started, when owners die in the middle of a shortage.
    mix = run_virtual(lambda: play((2, 2, 2), equal, fail), SCHEDULE_SEED)
    started = {task.batch for task in mix.system.book.starts}
    assert not started & {a.batch for a in mix.answers if a.refused}
    assert mix.system.book.broken == []
    late = mix.window[1] - timedelta(seconds=1.5)
    for host in mix.system.hosts:
        after = [a for a in mix.of(hosts=[host]) if a.submitted >= late]
        assert any(a.on_time for a in after)
