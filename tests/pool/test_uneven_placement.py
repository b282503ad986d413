"""Check where tasks start if the minions of a pool differ in speed.

The load is that of a fleet in which a third of the minions take 1.7 times as long as
usual and the others 0.7 times: tasks of 51 and 170 ms, and long ones of 760 ms, with
objectives of 1.6 times that and 60 ms.
"""

from __future__ import annotations

from datetime import timedelta
from random import Random

import pytest
from tests.pool.test_cold_minions import add_active_run, cold
from tests.pool.test_placement import NOW, minion, ms, step

from brasstray.pool.durations import Durations
from brasstray.pool.outlook import MAX_RESERVATIONS, Outlook
from brasstray.pool.placement import FIT_WEIGHT, choose_minion

FAST, SLOW = 0.7, 1.7


class KnownDurations(Durations):
    """Durations with the slowness of each minion given."""

    def __init__(self, slownesses):
        super().__init__(1.5)
        self._slownesses = slownesses

    def slowness(self, minion):
        return self._slownesses.get(minion, 1.0)


def task_of(estimate, waited=0, **changes):
    due = estimate * 1.6 + 60 - waited
    return step(due, estimate, **changes).waiting[0]


def busy(name, left_ms):
    """Return a minion with room for one task, whose run has `left_ms` to go."""
    target = minion(name, cpu=7_000)
    record = add_active_run(target, step())
    record.expected = ms(left_ms)
    return target


def choose(task, minions, slownesses):
    """Return the name of the chosen minion; None if the task waits."""
    durations = KnownDurations(slownesses)
    outlook = Outlook(minions, durations, NOW)
    free = [m for m in minions if m.free_cpu_millis >= 6_800]
    found = choose_minion(task, free, durations, NOW, outlook)
    return found.entry.id if found else None


@pytest.mark.parametrize(
    ("task", "chosen"),
    [
        # A short task ends in time on any minion, so it leaves the fast one free.
        (task_of(51), "slow"),
        (task_of(170), "slow"),
        # A long one would be late on the slow minion for that alone.
        (task_of(760), "fast"),
        # A short one that has waited would be late there as well.
        (task_of(51, waited=60), "fast"),
        (task_of(170, waited=100), "fast"),
        # One that is late wherever it runs ends first on the fast one.
        (task_of(170, waited=400), "fast"),
    ],
)
@pytest.mark.parametrize("order", [1, -1])
def test_task_starts_where_it_ends_in_time(task, chosen, order):
    minions = [minion("fast"), minion("slow")][::order]
    slownesses = {"fast": FAST, "slow": SLOW}
    assert choose(task, minions, slownesses) == chosen


@pytest.mark.parametrize(
    ("task", "left_ms", "chosen"),
    [
        # On the slow minion a long task takes 1,292 ms; on the fast one 532 ms, and it
        # would still be in time after this wait.
        (task_of(760), 200, None),
        # The wait costs more than the slow minion, or hardly less.
        (task_of(760), 900, "slow"),
        (task_of(760), 700, "slow"),
        # A short task that is in time on the slow minion does not wait.
        (task_of(51), 1, "slow"),
        # One that is late anyway goes where it ends first.
        (task_of(170, waited=400), 100, None),
        (task_of(170, waited=400), 300, "slow"),
    ],
)
def test_task_waits_for_a_fast_minion_where_it_ends_sooner(task, left_ms, chosen):
    minions = [busy("fast", left_ms), busy("also", left_ms + 50), minion("slow")]
    slownesses = {"fast": FAST, "also": FAST, "slow": SLOW}
    assert choose(task, minions, slownesses) == chosen


@pytest.mark.parametrize("failure", ["draining", "unhealthy", "avoided", "cold"])
def test_task_does_not_wait_for_a_minion_that_it_cannot_use(failure):
    task, fast = task_of(760), busy("fast", 100)
    match failure:
        case "draining":
            fast.entry = minion("fast", cpu=7_000, draining=True).entry
        case "unhealthy":
            fast.health.suspend(NOW)
        case "avoided":
            task.avoided.add("fast")
        case "cold":
            cold(fast, 5_000)
    slownesses = {"fast": FAST, "slow": SLOW}
    assert choose(task, [fast, minion("slow")], slownesses) == "slow"


def test_two_tasks_do_not_wait_for_the_same_room():
    minions = [busy("fast", 200), minion("slow")]
    durations = KnownDurations({"fast": FAST, "slow": SLOW})
    outlook = Outlook(minions, durations, NOW)
    found = [
        choose_minion(task_of(760), minions[1:], durations, NOW, outlook)
        for _ in range(2)
    ]
    assert found == [None, minions[1]]


def test_a_long_queue_takes_the_slow_minions_too():
    # Work far beyond the capacity: nobody gains if slow minions stay idle.
    fast = [busy(f"fast{n}", 10) for n in range(40)]
    slow = [minion(f"slow{n}") for n in range(12)]
    minions = fast + slow
    durations = KnownDurations(
        {m.entry.id: FAST for m in fast} | {m.entry.id: SLOW for m in slow}
    )
    outlook = Outlook(minions, durations, NOW)
    found = [
        choose_minion(task_of(760), minions[-1:], durations, NOW, outlook)
        for _ in range(MAX_RESERVATIONS + 1)
    ]
    assert found == [None] * MAX_RESERVATIONS + [minions[-1]]


def test_a_long_run_is_waited_for_by_its_progress():
    # A run of a long task was expected to end soon, and is at a tenth of its way.
    fast = busy("fast", 100)
    record = next(iter(fast.runs.values()))
    record.began = NOW - ms(100)
    record.report(10, NOW)
    slownesses = {"fast": FAST, "slow": SLOW}
    assert choose(task_of(760), [fast, minion("slow")], slownesses) == "slow"


def test_cold_minion_is_used_last():
    # It is not known how slow it is, so that a task may not end in time there.
    slownesses = {"cold": 1.0, "fast": FAST, "slow": SLOW}
    minions = [cold(minion("cold"), 5_000), minion("fast"), minion("slow")]
    assert choose(task_of(760), minions, slownesses) == "fast"
    assert choose(task_of(760), [minions[0], minions[2]], slownesses) == "slow"


@pytest.mark.parametrize("spread", [0.0, 0.2])
@pytest.mark.parametrize("seed", range(20))
def test_nothing_changes_while_minions_differ_little(seed, spread):
    # Speeds are learned from runs that differ, so they differ a little in any pool.
    random = Random(seed)
    minions = [
        minion(
            f"m{n}", cpu=random.choice([16_000, 24_000]), used=random.randrange(9_000)
        )
        for n in range(12)
    ]
    slownesses = {m.entry.id: 1 + random.uniform(-spread, spread) for m in minions}
    task = task_of(random.choice([51, 170, 760]), waited=random.choice([0, 90, 400]))

    def fit(one):
        unused = (one.free_cpu_millis - 6_800) / one.entry.capacity.cpu_millis
        return slownesses[one.entry.id] + FIT_WEIGHT * unused

    best = min((m for m in minions if m.free_cpu_millis >= 6_800), key=fit)
    assert choose(task, minions, slownesses) == best.entry.id


@pytest.mark.parametrize(
    ("slownesses", "uneven"),
    [
        ([], False),
        ([1.0] * 4, False),
        ([0.8, 0.9, 1.0, 1.2], False),
        ([FAST, FAST, SLOW], True),
        # A few minions that ran long tasks.
        ([1.0] * 10 + [SLOW] * 2, False),
        ([1.0] * 9 + [SLOW] * 3, True),
        # A few fast minions among slow ones.
        ([FAST, SLOW, SLOW], True),
    ],
)
def test_which_pools_are_uneven(slownesses, uneven):
    minions = [minion(f"m{n}") for n in range(len(slownesses))]
    known = KnownDurations({f"m{n}": slow for n, slow in enumerate(slownesses)})
    assert Outlook(minions, known, NOW + timedelta(0)).uneven is uneven
