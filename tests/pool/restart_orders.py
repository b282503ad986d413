"""Draw orders of events in which minions start again under their ids."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field, replace
from datetime import timedelta
from random import Random

from msgspec.structs import replace as replace_message
from tests.pool.takeover import JOB, Requester, request

from brasstray.peer.message.tasks_ended import TasksEnded
from brasstray.peer.message.tasks_returned import TasksReturned
from brasstray_standins.call_faults import RandomCallFaults

BORN = 1_764_000_000_000
TASK_COUNT = 2
MAX_LIST_LAG_MS = 700
# Longer than any late start, any lease, and the rerun of a task after them.
MAX_DURATION = timedelta(seconds=20)
# Faults end here, so that each task can end.
FAULT_PERIOD = timedelta(milliseconds=1_600)
# A second report of an end would follow by then.
LAST_REPORTS = timedelta(milliseconds=300)
TICK = timedelta(milliseconds=8)


def ms(count):
    return timedelta(milliseconds=count)


@dataclass
class CountingRequester(Requester):
    """Count the ends of each task; claim from new owners; give up as told.

    Coordinators have a link to the newest owner only, so a replaced one is not heard.
    """

    ends: Counter = field(default_factory=Counter)
    given_up: set = field(default_factory=set)
    replaced: bool = False

    @property
    def open_tasks(self):
        return set(range(TASK_COUNT)) - set(self.ends) - self.given_up

    def next_link(self):
        """Return the requester as the next owner knows it."""
        self.replaced = True
        return CountingRequester(self.ends, self.given_up)

    def send(self, message):
        if self.replaced:
            return
        match message:
            case TasksEnded():
                self.ends.update((*message.done, *message.failed))
            case TasksReturned():
                self.given_up.update(message.indices)

    send_deferred = send

    def ask(self, owner, *, claimed):
        if self.open_tasks:
            message = request(claimed=claimed, job=JOB, width=TASK_COUNT)
            indices = tuple(sorted(self.open_tasks))
            owner.run_tasks(self, replace_message(message, indices=indices))


@dataclass
class RestartOrder:
    """Let restarts cross with entries, replies, late orders and takeovers."""

    pool: object
    random: Random
    restarts: int = 0
    takeovers: int = 0

    def __post_init__(self):
        self.requester = CountingRequester()
        self.owners = []
        self.born = BORN

    async def run(self):
        pool, random = self.pool, self.random
        for stand_in in pool.stand_ins.values():
            stand_in.entry = replace(stand_in.entry, born=self.born)
        await self._start_owner(1)
        await pool.clock.sleep(ms(120))
        self.requester.ask(self.owners[-1], claimed=False)
        pool.group.start_soon(self._list_periodically)
        pool.group.start_soon(self._restart_minions)
        if random.random() < 0.4:
            await pool.clock.sleep(ms(random.randint(0, 800)))
            await self._take_over()
        while pool.clock.monotonic() < MAX_DURATION:
            if self.restarts and not self.requester.open_tasks:
                break
            if pool.clock.monotonic() > FAULT_PERIOD:
                self.calls.random_faults = RandomCallFaults(random, 0.0, 0.0)
                self.calls.cut.clear()
            await pool.clock.sleep(TICK)
        await pool.clock.sleep(LAST_REPORTS)

    async def _start_owner(self, token):
        random = self.random
        self.calls = self.pool.calls()
        late, unanswered = random.choice([(0.0, 0.0), (0.15, 0.0), (0.1, 0.1)])
        self.calls.random_faults = RandomCallFaults(
            random, late, unanswered, ms(random.choice((300, 2_000, 6_000)))
        )
        self.calls.delayed_starts = random.choice((0, 0, 1, 2))
        self.calls.call_delay = ms(random.choice((30, 150, 600, 2_000, 5_000)))
        owner, self.scope = self.pool.start_owner(token, self.calls)
        self.owners.append(owner)
        await self.pool.list_all_minions(owner)

    async def _take_over(self):
        self.takeovers += 1
        if self.random.random() < 0.7:
            self.scope.cancel()
            await self.pool.clock.sleep(ms(self.random.choice((30, 150, 400))))
        await self._start_owner(2)
        await self.pool.clock.sleep(ms(self.random.choice((2, 60, 200))))
        self.requester = self.requester.next_link()
        self.requester.ask(self.owners[-1], claimed=True)

    async def _list_periodically(self):
        """Give the owners the entries as they were some time ago."""
        while True:
            entries = list(self.pool.entries)
            self.pool.group.start_soon(self._list_late, entries)
            await self.pool.clock.sleep(ms(self.random.randint(60, 400)))

    async def _list_late(self, entries):
        await self.pool.clock.sleep(ms(self.random.randint(0, MAX_LIST_LAG_MS)))
        for owner in self.owners:
            if not owner.deposed:
                owner.update_minions(entries)

    async def _restart_minions(self):
        random = self.random
        for _ in range(random.randint(1, 3)):
            await self.pool.clock.sleep(ms(random.randint(0, 500)))
            minion_id = random.choice(self._used_minions())
            stand_in = self.pool.stand_ins[minion_id]
            if random.random() < 0.5:
                # The owner does not hear of the restart for a while.
                self.pool.group.start_soon(self._cut, self.calls, minion_id)
            stand_in.crash()
            await self.pool.clock.sleep(ms(random.choice((0, 5, 80, 600, 1_500))))
            self.born += random.randint(1, 5_000)
            stand_in.restart(self.born, random.choice((0, 50, 100_000)))
            self.restarts += 1

    def _used_minions(self):
        """Return the minions with runs by the owner's account, or else all."""
        used = [m.entry.id for m in self.owners[-1].minions if m.runs]
        return used or sorted(self.pool.stand_ins)

    async def _cut(self, calls, minion_id):
        calls.cut.add(minion_id)
        await self.pool.clock.sleep(ms(self.random.choice((20, 200, 900, 2_500))))
        calls.cut.discard(minion_id)


async def run_order(pool, seed, kind=RestartOrder):
    """Play one drawn order; return what was played."""
    order = kind(pool, Random(f"restarts {seed}"))
    await order.run()
    return order
