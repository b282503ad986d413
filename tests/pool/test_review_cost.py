"""Check that reviews of a long queue leave an owner time for everything else.

The load is a burst: hundreds of steps wait for slots that are all in use, so that most
of them are lost and are rejected in one review.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from datetime import timedelta

import anyio
import pytest
from msgspec.structs import replace
from tests.pool.takeover import Requester, request, run_takeover
from tests.pool.test_placement import NOW, minion, ms, step

from brasstray.batch.ids import BatchId, PoolId
from brasstray.peer.message.tasks_returned import TasksReturned
from brasstray.pool.dispatcher import Dispatcher
from brasstray.pool.durations import Durations
from brasstray.pool.load_sharing import LoadSharing
from brasstray.pool.pool_load import PoolLoad
from brasstray.pool.task_size import TaskSize
from brasstray.pool.timing import PoolTiming

MINIONS = 10


class CountingDurations(Durations):
    calls = 0

    def expected(self, *args):
        self.calls += 1
        return super().expected(*args)


@dataclass
class FakeClock:
    now: timedelta = NOW

    def monotonic(self):
        return self.now


@dataclass
class Host:
    name: str = "a"
    last_contact: timedelta = NOW + timedelta(seconds=10)

    def send(self, message):
        pass


class Request:
    indices = (0,)
    claimed = False
    done_ms = 0


class Events:
    def __getattr__(self, name):
        return lambda *_: None


class Tasks:
    def __init__(self, steps):
        self.steps = steps

    def forget_if_empty(self, lost):
        if not lost.tasks:
            self.steps = [one for one in self.steps if one is not lost]


class OtherPools:
    def loads(self):
        return {PoolId("x"): PoolLoad(0, 900)}

    def any_connectable(self):
        return False

    def reserve_slots(self, pool, count):
        pass


class SlowSharing:
    """Take some time for each review."""

    def __init__(self, clock, takes):
        self.clock, self.takes, self.reviews = clock, takes, []
        self.plan = self

    def order(self, waiting, now):
        return waiting

    def forward_or_reject(self, waiting, now):
        self.reviews.append(now)
        self.clock.now += self.takes


def review(count):
    """Return how often a review of `count` steps asks for a duration, and the rest."""
    clock, durations = FakeClock(), CountingDurations(1.0)
    minions = [minion(f"m{n}", cpu=8_000, used=8_000) for n in range(MINIONS)]
    tasks = Tasks(
        [
            step(200, priority=n % 3, requester=Host(), batch=BatchId(f"{n:016x}"))
            for n in range(count)
        ]
    )
    size = TaskSize(clock.monotonic)
    sharing = LoadSharing(
        tasks,
        lambda: minions,
        durations,
        size,
        OtherPools(),
        clock,
        Events(),
        lambda: False,
        prioritize=True,
    )
    for one in tasks.steps:
        sharing.observe_demand(one, Request())
    durations.calls = 0
    sharing.forward_or_reject(sharing.plan.order(tasks.steps, NOW), NOW)
    return durations.calls, len(tasks.steps)


def test_the_work_of_a_review_grows_with_the_queue_alone():
    # Guards against an owner that a burst keeps busy with rejecting, so that ends of
    # runs are late and still more jobs are lost.
    few, kept = review(100)
    many, kept_of_many = review(800)
    assert kept == kept_of_many < 100
    # A square would be 64 times as much.
    assert many <= 16 * few


def dispatcher_with(clock, sharing):
    roster = type("Roster", (), {"minions": []})()
    return Dispatcher(
        Tasks([step(requester=Host())]),
        roster,
        Durations(1.0),
        sharing,
        clock,
        PoolTiming(),
        Events(),
        lambda: True,
        lambda: False,
        lambda _: None,
    )


@pytest.mark.parametrize(
    ("takes", "period"), [(0, 1), (1, 4), (5, 20), (10, 40), (40, 90), (200, 250)]
)
def test_reviews_leave_time_for_everything_else(takes, period):
    # Guards against an owner whose reviews take all its time once its queue is long.
    clock = FakeClock()
    sharing = SlowSharing(clock, ms(takes))
    dispatcher = dispatcher_with(clock, sharing)

    async def wake_each_millisecond():
        async with anyio.create_task_group() as group:
            group.start_soon(dispatcher.run)
            while clock.now < NOW + ms(1_000):
                clock.now += ms(1)
                dispatcher.review()
                await anyio.wait_all_tasks_blocked()
            group.cancel_scope.cancel()

    anyio.run(wake_each_millisecond)
    gaps = Counter(
        (late - early) // ms(1)
        for early, late in zip(sharing.reviews, sharing.reviews[1:], strict=False)
    )
    assert set(gaps) <= {period, period + 1}
    assert gaps


# Guards against a job of many steps whose rejection takes a message and a log line for
# each of them, though the first one ends it.
@pytest.mark.parametrize("steps", [2, 50, 500])
def test_one_rejection_of_a_job_is_enough(steps):
    async def scenario(pool):
        owner, _ = pool.start_owner(1, pool.calls())
        await pool.list_all_minions(owner)
        await pool.clock.sleep(ms(150))
        owner.run_tasks(Requester(), request(claimed=False, width=2))
        await pool.clock.sleep(ms(5))
        lost, other = Requester(), Requester()
        for number in range(steps):
            late = request(claimed=False, job=BatchId("b" * 16))
            late = replace(late, step=number, useful_ms=100, limit_ms=100)
            owner.run_tasks(lost, late)
        late = request(claimed=False, job=BatchId("c" * 16))
        owner.run_tasks(other, replace(late, useful_ms=100, limit_ms=100))
        # One review, and less than the interval to the next.
        await pool.clock.sleep(ms(1))
        return lost.messages, other.messages

    _, (lost, other) = run_takeover(scenario, 1)
    assert [type(message) for message in lost] == [TasksReturned]
    assert [type(message) for message in other] == [TasksReturned]
