"""Check that takeovers in series run no task twice, whatever answers are lost."""

from __future__ import annotations

import os
from dataclasses import dataclass, field
from datetime import timedelta
from random import Random

import pytest
from msgspec.structs import replace
from tests.pool.takeover import JOB, Requester, play_takeover, request

from brasstray.peer.message.tasks_ended import TasksEnded
from brasstray.peer.message.tasks_returned import TasksReturned
from brasstray_standins.call_chaos import CallChaos

# More are played by hand.
SEEDS = int(os.environ.get("SERIES_SEEDS", "10"))
# After this a caller without an answer sends its job again.
RESEND_PAUSE = timedelta(milliseconds=1_300)
# What may pass before an owner's death is noticed by the next one: a reset at once,
# silence only later.
GAPS_MS = (30, 60, 150, 400, 500, 700)
LENGTH = timedelta(seconds=8)
TASKS = 3


def ms(count):
    return timedelta(milliseconds=count)


@dataclass
class Caller(Requester):
    """Claim the tasks of one job from each new owner, and send it again if given up."""

    pool: object
    random: Random
    owner: object = None
    left: set[int] = field(default_factory=lambda: set(range(TASKS)))
    given_up: bool = False

    def tell(self, message):
        match message:
            case TasksEnded():
                self.left -= set(message.done)
            case TasksReturned(outcome_unknown=True):
                self.given_up = True

    tell_later = tell

    def send(self, *, claimed):
        if not self.left or self.given_up:
            return
        whole = request(claimed=claimed, job=JOB, width=TASKS)
        wanted = replace(whole, indices=tuple(sorted(self.left)))
        self.owner.run_tasks(self, wanted)

    async def follow(self, owner, *, claimed):
        """Ask `owner` from now on, as soon as its takeover is known."""
        if claimed:
            await self.pool.clock.sleep(ms(self.random.choice((2, 20, 100, 250))))
        self.owner = owner
        self.send(claimed=claimed)

    async def send_again(self):
        """Stop a job that was given up; send it again after the pause."""
        while True:
            await self.pool.clock.sleep(ms(5))
            if not self.given_up:
                continue
            self.owner.stop_tasks(self, JOB)
            await self.pool.clock.sleep(RESEND_PAUSE)
            self.given_up = False
            self.left = set(range(TASKS))
            self.send(claimed=False)


@dataclass
class Series:
    """Put a pool into the hands of one owner after the other, at random."""

    pool: object
    random: Random
    late: float
    unanswered: float

    async def play(self):
        pool, random = self.pool, self.random
        caller = Caller(pool, random)
        caller.told = []
        pool.group.start_soon(caller.send_again)
        owner, scope, calls = await self._own(1)
        await pool.clock.sleep(ms(400))
        await caller.follow(owner, claimed=False)
        began, token = pool.clock.monotonic(), 1
        while pool.clock.monotonic() - began < LENGTH:
            await pool.clock.sleep(ms(random.randint(20, 900)))
            if random.random() < 0.3:
                pool.group.start_soon(self._silence, calls)
            if random.random() < 0.7:
                scope.cancel()
                await pool.clock.sleep(ms(random.choice(GAPS_MS)))
            token += 1
            owner, scope, calls = await self._own(token)
            pool.group.start_soon(self._claim, caller, owner)
        await pool.clock.sleep(ms(4_000))

    async def _claim(self, caller, owner):
        await caller.follow(owner, claimed=True)

    async def _own(self, token):
        calls = self.pool.calls()
        calls.chaos = CallChaos(self.random, self.late, self.unanswered, ms(3_000))
        owner, scope = self.pool.own(token, calls)
        await self.pool.list_all(owner)
        return owner, scope, calls

    async def _silence(self, calls):
        minion = self.random.choice(sorted(self.pool.places))
        calls.cut.add(minion)
        await self.pool.clock.sleep(ms(self.random.randint(50, 1_500)))
        calls.cut.discard(minion)


@pytest.mark.parametrize("seed", range(SEEDS))
@pytest.mark.parametrize(
    ("late", "unanswered"), [(0.35, 0.0), (0.2, 0.2), (0.0, 0.35), (0.1, 0.05)]
)
def test_takeovers_in_series_run_no_task_twice(late, unanswered, seed):
    """No second run or overfull minion while owners follow one another."""
    random = Random(f"{late} {unanswered} {seed}")

    async def story(pool):
        await Series(pool, random, late, unanswered).play()

    pool, _ = play_takeover(
        story, 2 + seed % 2, duration=ms(random.choice((900, 3_000)))
    )
    assert pool.book.starts
    assert pool.book.broken == []
