"""Draw orders of events in which minions leave some calls of each owner unanswered."""

from __future__ import annotations

from dataclasses import dataclass, field
from datetime import timedelta
from random import Random

from tests.pool.restart_orders import CountingRequester, ms
from tests.pool.takeover import LossyMinions
from tests.pool.test_restarts import report_born

from brasstray.pool.errors import MinionNoResponseError

FIRST_CALLS = 8
MAX_UNANSWERED = 5
MAX_TENURE_MS = 900
# Faults end here, so that each task can end.
FAULT_PERIOD = timedelta(milliseconds=3_500)
MAX_DURATION = timedelta(seconds=9)
TICK = timedelta(milliseconds=8)


class MutedMinions(LossyMinions):
    """Execute all calls, and lose the replies to those of `unanswered`.

    It holds the numbers of an owner's first calls of any kind to each minion, counted
    from 0. Those in `renewed_late` extend leases `call_delay` later.
    """

    def __init__(self, *args):
        super().__init__(*args)
        self.unanswered = {}
        self.renewed_late = {}
        self._counts = {}

    async def probe(self, minion, token, acknowledged, until_ms, wait, timeout):
        number = self._counts.get(minion.id, 0)
        if until_ms is not None and number in self.renewed_late.get(minion.id, ()):
            self.delayed_extensions += 1
        call = super().probe(minion, token, acknowledged, until_ms, wait, timeout)
        return await self._answer(minion, call, timeout)

    async def start(self, minion, token, task, run, spec, until_ms, timeout):
        call = super().start(minion, token, task, run, spec, until_ms, timeout)
        return await self._answer(minion, call, timeout)

    async def stop(self, minion, token, task, run, timeout):
        call = super().stop(minion, token, task, run, timeout)
        return await self._answer(minion, call, timeout)

    async def _answer(self, minion, call, timeout):
        number = self._counts.get(minion.id, 0)
        self._counts[minion.id] = number + 1
        answer = await call
        if number not in self.unanswered.get(minion.id, ()):
            return answer
        await self._clock.sleep(timeout)
        raise MinionNoResponseError("unanswered")


@dataclass
class UnansweredOrder:
    """Hand a pool over up to three times while its minions answer in part."""

    pool: object
    random: Random
    born: bool
    requester: CountingRequester = field(default_factory=CountingRequester)
    owners: int = 0
    scope: object = None
    owner: object = None
    asked: object = None

    async def run(self):
        pool, random = self.pool, self.random
        if self.born:
            report_born(pool)
        await self._start_owner()
        await pool.clock.sleep(ms(120))
        self._ask(claimed=False)
        await pool.clock.sleep(ms(random.randint(60, 400)))
        for _ in range(random.randint(1, 3)):
            await self._take_over()
            await pool.clock.sleep(ms(random.randint(50, MAX_TENURE_MS)))
        self._claim()
        await self._await_answers()

    async def _await_answers(self):
        while self.pool.clock.monotonic() < MAX_DURATION:
            if not self.requester.open_tasks:
                return
            if self.pool.clock.monotonic() > FAULT_PERIOD:
                self.calls.unanswered.clear()
                self.calls.renewed_late.clear()
            await self.pool.clock.sleep(TICK)

    async def _start_owner(self):
        self.owners += 1
        self.calls = MutedMinions(self.pool.stand_ins, self.pool.clock, self.pool.group)
        self.calls.call_delay = ms(self.random.choice((100, 400, 900)))
        self.owner, self.scope = self.pool.start_owner(self.owners, self.calls)
        if self.owners > 1:
            self._draw_unanswered()
        await self.pool.list_all_minions(self.owner)

    def _draw_unanswered(self):
        random = self.random
        for minion in self.pool.stand_ins:
            if random.random() < 0.7:
                count = random.randint(1, MAX_UNANSWERED)
                drawn = random.sample(range(FIRST_CALLS), count)
                self.calls.unanswered[minion] = set(drawn)
                if random.random() < 0.3:
                    self.calls.renewed_late[minion] = {random.choice(drawn)}

    async def _take_over(self):
        random, clock = self.random, self.pool.clock
        if random.random() < 0.7:
            self.scope.cancel()
            await clock.sleep(ms(random.choice((30, 150, 400))))
        await self._start_owner()
        await clock.sleep(ms(random.choice((2, 60, 150))))
        if random.random() < 0.8:
            self._claim()

    def _claim(self):
        """Have the requester link to the present owner, if it has not yet."""
        if self.asked is not self.owner:
            self.requester = self.requester.next_link()
            self._ask(claimed=True)

    def _ask(self, *, claimed):
        self.asked = self.owner
        self.requester.ask(self.owner, claimed=claimed)


async def run_order(pool, seed, *, born):
    """Play one drawn order; return what was played."""
    order = UnansweredOrder(pool, Random(f"unanswered {seed}"), born)
    await order.run()
    return order
