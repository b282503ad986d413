"""Submit a mix of three kinds of jobs, and count what became of each.

Three kinds of jobs share the minions: wide jobs of 60 ms tasks (priority 0), pairs of
0.2 s tasks (priority 1), and some of 0.9 s tasks (priority 2).
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from datetime import timedelta
from random import Random

import anyio

from brasstray.batch.ids import QueueName
from brasstray.batch.outcome import BatchOutcome
from brasstray.batch.task_name import TaskName
from brasstray_standins.leased_minion import Work
from brasstray_standins.pool_system import TASK_NEEDS, make_batch, make_queue

SECOND = timedelta(seconds=1)
# Jobs submitted so soon after the load begins, or before it ends, are not counted.
EDGE = timedelta(milliseconds=500)


@dataclass(frozen=True)
class Kind:
    priority: int
    tasks: int
    duration: timedelta
    rate: float

    @property
    def work(self):
        return self.tasks * self.duration / SECOND

    @property
    def objective(self):
        return self.duration * 1.6 + timedelta(milliseconds=60)

    @property
    def queue(self):
        name = QueueName(f"kind{self.priority}")
        return replace(make_queue(), name=name, priority=self.priority)


KINDS = (
    Kind(0, 8, timedelta(milliseconds=60), 103),
    Kind(1, 2, timedelta(milliseconds=200), 300),
    Kind(2, 4, timedelta(milliseconds=900), 18.8),
)
MIX_WORK = sum(kind.work * kind.rate for kind in KINDS)


@dataclass(frozen=True)
class Answered:
    kind: Kind
    host: str
    submitted: timedelta
    took: timedelta
    result: object
    batch: str

    @property
    def on_time(self):
        served = self.result.outcome is BatchOutcome.SUCCEEDED
        return served and self.took <= self.kind.objective

    @property
    def refused(self):
        return self.result.outcome is BatchOutcome.NOT_RUN


@dataclass
class Mix:
    """Submit jobs of each kind with the given rates, from hosts by weight."""

    system: object
    seed: int = 1
    answers: list[Answered] = field(default_factory=list)
    count: int = 0

    def __post_init__(self):
        self.random = Random(self.seed)
        size = self.system.size
        self.window = (0.0, 0.0)
        self.slots = size.data_centres * size.minions_each * 2

    async def run(self, seconds, factors, hosts):
        """Submit for `seconds` at `factors` by kind, relative to the capacity.

        `hosts` returns the weights of hosts at the time since the start.
        """
        began = self.system.clock.monotonic()
        self.window = (began + EDGE, began + seconds * SECOND - EDGE)
        async with anyio.create_task_group() as group:
            for kind, factor in zip(KINDS, factors, strict=True):
                if factor:
                    rate = kind.rate * factor * self.slots / MIX_WORK
                    group.start_soon(
                        self._submit_all, group, kind, rate, began, seconds, hosts
                    )
        return self

    async def _submit_all(self, group, kind, rate, began, seconds, hosts):
        clock = self.system.clock
        credit = dict.fromkeys(hosts(0.0), 0.0)
        while True:
            await clock.sleep(SECOND * self.random.expovariate(rate))
            since = (clock.monotonic() - began) / SECOND
            if since >= seconds:
                return
            # Hosts get their parts exactly, so that chance does not favour any.
            weights = hosts(since)
            for name, weight in weights.items():
                credit[name] += weight / sum(weights.values())
            name = max(credit, key=lambda n: (credit[n], n))
            credit[name] -= 1
            self.count += 1
            group.start_soon(self._submit, kind, name, f"{self.count:016x}")

    async def _submit(self, kind, name, job):
        batch = make_batch(job, kind.tasks, kind.duration)
        for index in range(kind.tasks):
            task = TaskName(batch.id, 0, index)
            self.system.book.work_by_task[task] = Work(TASK_NEEDS, kind.duration)
        running = self.system.hosts.get(name)
        if running is None:
            return
        began = self.system.clock.monotonic()
        timeout = SECOND * self.random.uniform(1.5, 3.4)
        result = await running.host.coordinator.run(batch, kind.queue, timeout)
        took = self.system.clock.monotonic() - began
        self.answers.append(Answered(kind, name, began, took, result, job))

    def of(self, priority=None, hosts=None):
        return [
            answer
            for answer in self.answers
            if self.window[0] <= answer.submitted <= self.window[1]
            and priority in (None, answer.kind.priority)
            and (hosts is None or answer.host in hosts)
        ]

    def on_time(self, priority=None, hosts=None):
        """Return the share of jobs that were answered on time."""
        answers = self.of(priority, hosts)
        return sum(answer.on_time for answer in answers) / max(1, len(answers))

    def goodput(self):
        """Return the work on time, relative to the capacity."""
        seconds = (self.window[1] - self.window[0]) / SECOND
        return self.work_on_time() / (self.slots * seconds)

    def work_on_time(self, hosts=None):
        """Return the work in slot seconds of the jobs answered on time."""
        return sum(a.kind.work for a in self.of(None, hosts) if a.on_time)
