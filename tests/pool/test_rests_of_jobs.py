"""Check that no job is begun or spread whose rest is then rejected.

Every slot of the pool is in use, and another pool has some free ones.
"""

from __future__ import annotations

from dataclasses import dataclass, field

import pytest
from tests.pool.test_placement import NOW, ms, step
from tests.pool.test_review_cost import Events, FakeClock, Request, Tasks, minion

from brasstray.batch.ids import BatchId, PoolId
from brasstray.pool.durations import Durations
from brasstray.pool.load_sharing import LoadSharing
from brasstray.pool.pool_load import PoolLoad
from brasstray.pool.task_size import TaskSize

OTHER = PoolId("dc1")
SLOTS = 4
# When the runs of the pool end, in ms: within the horizon of the forecast or beyond it.
SOON, LONG = 100, 5_000

in_both_orders = pytest.mark.parametrize(
    "prioritize", [False, True], ids=["usual-order", "order-under-shortage"]
)


@dataclass
class Caller:
    name: str = "a"
    returned: list = field(default_factory=list)

    def send(self, message):
        self.returned.append(message)

    @property
    def forwarded(self):
        return sum(len(m.indices) for m in self.returned if m.pool == OTHER)

    @property
    def rejected(self):
        return sum(len(m.indices) for m in self.returned if m.pool is None)


class OtherPools:
    def __init__(self, free_slots):
        self.free_slots = free_slots

    def loads(self):
        return {OTHER: PoolLoad(self.free_slots)} if self.free_slots else {}

    def any_connectable(self):
        return True

    def reserve_slots(self, pool, count):
        pass


class KnownDurations(Durations):
    """Expect a fixed multiple of the callers' estimates."""

    def __init__(self, ratio):
        super().__init__(1.0)
        self.fixed = ratio

    def ratio(self, step, minion, labels):
        return self.fixed


def review(one, *, prioritize, free_slots=0, busy=LONG, ratio=1.0, ahead=0):
    """Review `one` behind `ahead` jobs of 900 ms, and return its caller.

    The runs of the pool end in `busy` ms.
    """
    clock = FakeClock()
    minions = [minion(f"m{n}", cpu=8_000, used=8_000) for n in range(SLOTS)]
    for each in minions:
        for record in each.runs.values():
            record.expected = ms(busy)
    before = [
        step(
            900,
            900,
            width=4,
            useful_until=60_000,
            limit=NOW + ms(60_000),
            forwarded=True,
            batch=BatchId(f"{n:016x}"),
            requester=Caller("b"),
        )
        for n in range(ahead)
    ]
    one.requester = Caller()
    one.batch = BatchId("f" * 16)
    tasks = Tasks([*before, one])
    sharing = LoadSharing(
        tasks,
        lambda: minions,
        KnownDurations(ratio),
        TaskSize(clock.monotonic),
        OtherPools(free_slots),
        clock,
        Events(),
        lambda: False,
        prioritize=prioritize,
    )
    # Two priorities, so that the order under shortage may act.
    for priority in range(2):
        other = step(100, 60, priority=priority, requester=Caller("c"))
        sharing.observe_demand(other, Request())
    sharing.observe_demand(one, Request())
    sharing.forward_or_reject(tasks.steps, NOW)
    return one.requester


def new_job(**changes):
    return step(1_500, 900, width=4, useful_until=4_500, priority=1, **changes)


def rest_of_job(**changes):
    """Return two waiting tasks of a job whose other two are elsewhere or have begun."""
    rest = new_job(**changes)
    for task in rest.waiting[2:]:
        del rest.tasks[task.name.index]
    del rest.waiting[2:]
    return rest


@in_both_orders
@pytest.mark.parametrize("free_slots", [1, 2, 3])
def test_no_part_is_forwarded_if_the_rest_has_no_room(prioritize, free_slots):
    # Guards against an unknown outcome and wasted starts where nothing need have begun.
    load = {"busy": LONG} if prioritize else {"ahead": 20}
    caller = review(new_job(), prioritize=prioritize, free_slots=free_slots, **load)
    assert caller.forwarded in (0, 4)
    assert caller.rejected == 4 - caller.forwarded


@in_both_orders
@pytest.mark.parametrize("free_slots", [1, 2, 3])
def test_a_part_is_forwarded_if_the_rest_has_room(prioritize, free_slots):
    # Guards against idle slots elsewhere while a job waits that could use them.
    caller = review(new_job(), prioritize=prioritize, free_slots=free_slots, busy=SOON)
    assert (caller.forwarded, caller.rejected) == (free_slots, 0)


@in_both_orders
def test_a_job_that_fits_elsewhere_is_forwarded_however_long_the_wait(prioritize):
    # Guards against refusals while enough slots are free.
    caller = review(new_job(), prioritize=prioritize, free_slots=4)
    assert (caller.forwarded, caller.rejected) == (4, 0)


@in_both_orders
@pytest.mark.parametrize("busy", [SOON, LONG])
@pytest.mark.parametrize("ratio", [1.0, 100.0], ids=["estimate", "overestimate"])
@pytest.mark.parametrize(
    "rest",
    [
        rest_of_job,
        lambda: rest_of_job(forwarded=True),
        lambda: rest_of_job(begun=True),
        lambda: new_job(begun=True),
        lambda: new_job(begun=True, forwarded=True),
    ],
    ids=["spread", "spread-here", "spread-begun", "begun", "begun-here"],
)
def test_the_rest_of_a_job_is_not_rejected_for_an_estimate(
    prioritize, busy, ratio, rest
):
    # Guards against an unknown outcome by a wait or a duration that is not known.
    caller = review(rest(), prioritize=prioritize, busy=busy, ratio=ratio, ahead=20)
    assert caller.rejected == 0


@in_both_orders
@pytest.mark.parametrize("ratio", [1.0, 100.0])
def test_the_rest_of_a_job_is_rejected_once_it_is_lost(prioritize, ratio):
    # Guards against callers that wait for an answer that cannot come any more.
    rest = rest_of_job(limit=NOW + ms(899))
    caller = review(rest, prioritize=prioritize, busy=SOON, ratio=ratio)
    assert caller.rejected == 2
