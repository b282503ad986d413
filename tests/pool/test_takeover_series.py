"""Check that a series of takeovers runs no task twice, whatever replies are lost."""

from __future__ import annotations

import os
from dataclasses import dataclass, field
from datetime import timedelta
from random import Random

import pytest
from msgspec.structs import replace
from tests.pool.takeover import JOB, Requester, request, run_takeover

from brasstray.peer.message.tasks_ended import TasksEnded
from brasstray.peer.message.tasks_returned import TasksReturned
from brasstray_standins.call_faults import RandomCallFaults

# More seeds are run by hand.
SEED_COUNT = int(os.environ.get("SERIES_SEEDS", "10"))
# A caller without an answer sends its job again after this time.
RESEND_PAUSE = timedelta(milliseconds=1_300)
# Time until the next owner notices the death of the previous one: a connection reset is
# seen at once, silence only later.
DETECTION_DELAYS_MS = (30, 60, 150, 400, 500, 700)
SERIES_DURATION = timedelta(seconds=8)
TASK_COUNT = 3


def ms(count):
    return timedelta(milliseconds=count)


@dataclass
class Caller(Requester):
    """Claim the tasks of a job from each new owner; send it again if given up."""

    pool: object
    random: Random
    owner: object = None
    unfinished: set[int] = field(default_factory=lambda: set(range(TASK_COUNT)))
    given_up: bool = False

    def send(self, message):
        match message:
            case TasksEnded():
                self.unfinished -= set(message.done)
            case TasksReturned(outcome_unknown=True):
                self.given_up = True

    send_deferred = send

    def send_request(self, *, claimed):
        if not self.unfinished or self.given_up:
            return
        full_request = request(claimed=claimed, job=JOB, width=TASK_COUNT)
        wanted = replace(full_request, indices=tuple(sorted(self.unfinished)))
        self.owner.run_tasks(self, wanted)

    async def switch_to(self, owner, *, claimed):
        """Send requests to `owner` from now on, once its takeover is known."""
        if claimed:
            await self.pool.clock.sleep(ms(self.random.choice((2, 20, 100, 250))))
        self.owner = owner
        self.send_request(claimed=claimed)

    async def send_again(self):
        """Stop a job that was given up, and send it again after the pause."""
        while True:
            await self.pool.clock.sleep(ms(5))
            if not self.given_up:
                continue
            self.owner.stop_tasks(self, JOB)
            await self.pool.clock.sleep(RESEND_PAUSE)
            self.given_up = False
            self.unfinished = set(range(TASK_COUNT))
            self.send_request(claimed=False)


@dataclass
class TakeoverSeries:
    """Hand a pool from one owner to the next at random times."""

    pool: object
    random: Random
    late: float
    unanswered: float

    async def run(self):
        pool, random = self.pool, self.random
        caller = Caller(pool, random)
        caller.messages = []
        pool.group.start_soon(caller.send_again)
        owner, owner_scope, calls = await self._start_owner(1)
        await pool.clock.sleep(ms(400))
        await caller.switch_to(owner, claimed=False)
        began, token = pool.clock.monotonic(), 1
        while pool.clock.monotonic() - began < SERIES_DURATION:
            await pool.clock.sleep(ms(random.randint(20, 900)))
            if random.random() < 0.3:
                pool.group.start_soon(self._cut_off_minion, calls)
            if random.random() < 0.7:
                owner_scope.cancel()
                await pool.clock.sleep(ms(random.choice(DETECTION_DELAYS_MS)))
            token += 1
            owner, owner_scope, calls = await self._start_owner(token)
            pool.group.start_soon(self._claim, caller, owner)
        await pool.clock.sleep(ms(4_000))

    async def _claim(self, caller, owner):
        await caller.switch_to(owner, claimed=True)

    async def _start_owner(self, token):
        calls = self.pool.calls()
        calls.random_faults = RandomCallFaults(
            self.random, self.late, self.unanswered, ms(3_000)
        )
        owner, owner_scope = self.pool.start_owner(token, calls)
        await self.pool.list_all_minions(owner)
        return owner, owner_scope, calls

    async def _cut_off_minion(self, calls):
        minion = self.random.choice(sorted(self.pool.stand_ins))
        calls.cut.add(minion)
        await self.pool.clock.sleep(ms(self.random.randint(50, 1_500)))
        calls.cut.discard(minion)


@pytest.mark.parametrize("seed", range(SEED_COUNT))
@pytest.mark.parametrize(
    ("late", "unanswered"), [(0.35, 0.0), (0.2, 0.2), (0.0, 0.35), (0.1, 0.05)]
)
def test_takeovers_in_series_run_no_task_twice(late, unanswered, seed):
    """No task runs twice, and no minion is overcommitted, over a series of owners."""
    random = Random(f"{late} {unanswered} {seed}")

    async def scenario(pool):
        await TakeoverSeries(pool, random, late, unanswered).run()

    pool, _ = run_takeover(
        scenario, 2 + seed % 2, duration=ms(random.choice((900, 3_000)))
    )
    assert pool.recorder.starts
    assert pool.recorder.broken == []
