"""Generate random storms of takeovers, late calls, evacuations and resent jobs."""

from __future__ import annotations

from dataclasses import dataclass, field
from datetime import timedelta
from random import Random

import anyio

from brasstray.batch.batch import Batch
from brasstray.batch.ids import BatchId
from brasstray.batch.outcome import BatchOutcome
from brasstray.batch.step import Step
from brasstray.batch.task_name import TaskName
from brasstray_standins.call_faults import RandomCallFaults
from brasstray_standins.leased_minion import Work
from brasstray_standins.pool_system import TASK_NEEDS, PoolSystemSize

SIZE = PoolSystemSize(
    data_centres=2, hosts_each=3, minions_each=3, minion_clock_rate=0.98
)
# How long the callers in the users' programs wait before they submit a job again.
RESEND_PAUSE = timedelta(milliseconds=1_300)
TIMEOUT = timedelta(seconds=4)
# The share of connections that break while their caller waits.
BROKEN_CONNECTION_SHARE = 0.15
MIN_HOSTS = 4
# Most of these are longer than a takeover, which takes about half a second.
DURATIONS_MS = (60, 200, 900, 900, 2_000)
# Delays of late calls, and the time after which all of them were carried out and every
# run has ended.
MAX_CALL_DELAY = timedelta(seconds=3)
SETTLE_TIME = timedelta(seconds=5)


def ms(count):
    return timedelta(milliseconds=count)


@dataclass
class Storm:
    """Inject random faults while callers submit jobs, all drawn from one seed."""

    system: object
    random: Random
    late: float
    unanswered: float
    faults: tuple[str, ...]
    length: timedelta
    answers: dict[str, list[BatchOutcome | None]] = field(default_factory=dict)

    async def run(self):
        for running in self.system.hosts.values():
            self._add_random_faults(running)
        async with anyio.create_task_group() as group:
            group.start_soon(self._submit_all, group)
            group.start_soon(self._inject_faults, group)
        await self.system.clock.sleep(SETTLE_TIME)

    def _add_random_faults(self, running):
        running.calls.random_faults = RandomCallFaults(
            self.random, self.late, self.unanswered, MAX_CALL_DELAY
        )

    # Callers

    async def _submit_all(self, group):
        end = self.system.clock.monotonic() + self.length
        number = 0
        while self.system.clock.monotonic() < end:
            job = f"{number:016x}"
            number += 1
            width = self.random.randint(1, 3)
            work = Work(TASK_NEEDS, ms(self.random.choice(DURATIONS_MS)))
            for index in range(width):
                self.system.book.work_by_task[TaskName(BatchId(job), 0, index)] = work
            batch = Batch(BatchId(job), "", (Step(width, TASK_NEEDS, work.duration),))
            group.start_soon(self._submit_with_resend, batch)
            await self.system.clock.sleep(ms(self.random.randint(100, 300)))

    async def _submit_with_resend(self, batch):
        """Submit a job, and again through another host if its outcome is not known."""
        outcomes = self.answers[str(batch.id)] = []
        name = self.random.choice(sorted(self.system.hosts))
        outcomes.append(await self._submit_once(name, batch))
        if outcomes[0] not in (None, BatchOutcome.UNKNOWN):
            return
        await self.system.clock.sleep(RESEND_PAUSE)
        centre = name.partition("-")[0]
        others = [n for n in sorted(self.system.hosts) if n != name]
        same_centre = [n for n in others if n.startswith(centre)]
        outcomes.append(
            await self._submit_once(self.random.choice(same_centre or others), batch)
        )

    async def _submit_once(self, name, batch):
        running = self.system.hosts[name]
        outcome = None
        wait = TIMEOUT
        if self.random.random() < BROKEN_CONNECTION_SHARE:
            wait = ms(self.random.randint(50, 800))
        with anyio.move_on_after(wait.total_seconds()) as scope:
            running.callers.append(scope)
            outcome = (await self.system.submit(name, batch, TIMEOUT)).outcome
        running.callers.remove(scope)
        return outcome

    # Faults

    async def _inject_faults(self, group):
        end = self.system.clock.monotonic() + self.length
        while self.system.clock.monotonic() < end:
            await self.system.clock.sleep(ms(self.random.randint(50, 900)))
            # Each fault ends by itself, and may overlap with the next ones.
            fault = getattr(self, "_" + self.random.choice(self.faults))
            group.start_soon(fault)

    def _owner(self):
        """Return the owner of a random pool, or None if it has none."""
        centre = self.random.randrange(SIZE.data_centres)
        try:
            return self.system.owner(centre)
        except ValueError:
            return None

    async def _kill(self):
        """Kill an owner, and restart it after a while."""
        name = self._owner()
        if name is None or len(self.system.hosts) < MIN_HOSTS:
            return
        self.system.kill(name)
        await self.system.clock.sleep(ms(self.random.randint(300, 3_000)))
        self._restart(name)

    def _restart(self, name):
        if name not in self.system.hosts:
            self._add_random_faults(self.system.start(name, name.partition("-")[0]))

    async def _kill_twice(self):
        """Kill an owner, and then its successor while that one recovers."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._kill)
            await self.system.clock.sleep(ms(self.random.randint(60, 700)))
            group.start_soon(self._kill)

    async def _drain(self):
        name = self._owner()
        if name is None or len(self.system.hosts) < MIN_HOSTS:
            return
        self.system.hosts[name].host.drain()
        await self.system.clock.sleep(ms(1_500))
        if name in self.system.hosts:
            self.system.kill(name)
            await self.system.clock.sleep(ms(300))
        self._restart(name)

    async def _freeze(self):
        name = self._owner()
        if name is None:
            return
        gate = self.system.hosts[name].gate
        gate.close()
        await self.system.clock.sleep(ms(self.random.randint(100, 2_500)))
        gate.open()

    async def _evacuate(self):
        centre = self.random.choice(self.system.centres)
        self.system.evacuate(centre)
        await self.system.clock.sleep(ms(self.random.randint(200, 4_000)))
        self.system.resume(centre)

    async def _silence(self):
        """Disconnect some hosts from a minion for a while."""
        minion = self.random.choice(sorted(self.system.minions))
        hosts = [
            running
            for running in self.system.hosts.values()
            if self.random.random() < 0.7
        ]
        for running in hosts:
            running.calls.cut.add(minion)
        await self.system.clock.sleep(ms(self.random.randint(100, 2_500)))
        for running in hosts:
            running.calls.cut.discard(minion)

    async def _cut(self):
        """Disconnect a host or a whole data centre from all others and the store."""
        if self.random.random() < 0.5:
            names = {self.random.choice(sorted(self.system.hosts))}
        else:
            centre = self.random.choice(self.system.centres)
            names = {n for n in self.system.hosts if n.startswith(centre)}
        self.system.network.cut(dict.fromkeys(names, 1))
        self.system.store.cut.update(names)
        await self.system.clock.sleep(ms(self.random.randint(200, 2_000)))
        self.system.network.cut({})
        self.system.store.cut.clear()

    async def _refuse(self):
        names = set(self.random.sample(sorted(self.system.hosts), 2))
        self.system.store.cut.update(names)
        await self.system.clock.sleep(ms(self.random.randint(200, 3_000)))
        self.system.store.cut.difference_update(names)

    async def _unlist(self):
        """Remove a minion from the list, and add it again."""
        entry = self.random.choice(self.system.listed or [None])
        if entry is None:
            return
        self.system.listed.remove(entry)
        await self.system.clock.sleep(ms(self.random.randint(500, 5_000)))
        self.system.listed.append(entry)


MIXES = {
    "takeovers": ("kill", "kill_twice"),
    "evacuations": ("kill", "kill_twice", "evacuate", "evacuate"),
    "silent minions": ("kill", "kill_twice", "silence", "silence"),
    "cuts": ("kill", "cut", "refuse", "freeze"),
    "all": (
        "kill",
        "kill_twice",
        "drain",
        "freeze",
        "evacuate",
        "silence",
        "cut",
        "refuse",
        "unlist",
    ),
}
# Pairs: the share of calls to minions that are carried out late, and unanswered.
CALL_FAULTS = ((0.3, 0.05), (0.1, 0.1), (0.0, 0.25), (0.4, 0.0))
