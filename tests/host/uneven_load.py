"""Submit jobs of short and long tasks to minions of different speeds."""

from __future__ import annotations

import math
from dataclasses import dataclass
from datetime import timedelta
from random import Random

import anyio

from brasstray.batch.batch import Batch
from brasstray.batch.ids import BatchId
from brasstray.batch.outcome import BatchOutcome
from brasstray.batch.resources import Resources
from brasstray.batch.step import Step
from brasstray.batch.task_name import TaskName
from brasstray_standins.leased_minion import Work
from brasstray_standins.pool_system import STRETCH, TASK_NEEDS

MILLISECOND = timedelta(milliseconds=1)
SLACK = 60 * MILLISECOND


@dataclass(frozen=True)
class Kind:
    """Define a kind of job: its tasks, and its share of all jobs."""

    share: float
    width: int
    task_ms: float


KINDS = (Kind(0.25, 6, 51), Kind(0.05, 4, 760), Kind(0.70, 2, 170))


@dataclass(frozen=True)
class UnevenLoad:
    """Define a load: the rate of jobs in each data centre, and what is uneven.

    `tail_share` of the tasks take `tail_factor` times as long as estimated, estimates
    are off by `error` (the deviation of their logarithm), and the rate swings by
    `swing`, out of phase between data centres.
    """

    jobs_per_s: float
    seconds: float = 20.0
    tail_share: float = 0.0
    tail_factor: float = 7.0
    error: float = 0.0
    swing: float = 0.0
    period_s: float = 8.0


@dataclass(frozen=True)
class DrawnJob:
    """Hold a job of the load, and how long its tasks take on a sound minion."""

    name: str
    centre: int
    at: timedelta
    estimate: timedelta
    tasks: tuple[timedelta, ...]

    @property
    def objective(self) -> timedelta:
        """Return the time within which its answer is on time."""
        return max(self.tasks) * STRETCH + SLACK


def draw(load: UnevenLoad, centres: int, seed: int) -> list[DrawnJob]:
    """Return the jobs of `load` in the order of their times."""
    random = Random(seed)
    jobs = []
    for centre in range(centres):
        at = 0.0
        while True:
            phase = 2 * math.pi * (at / load.period_s + centre / centres)
            rate = load.jobs_per_s * (1 + load.swing * math.sin(phase))
            at += random.expovariate(rate)
            if at >= load.seconds:
                break
            name = f"{centre:04x}{len(jobs):012x}"
            jobs.append(_draw_job(load, random, name, centre, at))
    return sorted(jobs, key=lambda job: job.at)


def _draw_job(load, random, name, centre, at) -> DrawnJob:
    kind = random.choices(KINDS, [kind.share for kind in KINDS])[0]
    usual = kind.task_ms * math.exp(random.gauss(0, 0.4))
    tasks = tuple(
        usual
        * math.exp(random.gauss(0, 0.15))
        * (load.tail_factor if random.random() < load.tail_share else 1.0)
        * MILLISECOND
        for _ in range(kind.width)
    )
    estimate = usual * math.exp(random.gauss(0, load.error)) * MILLISECOND
    return DrawnJob(name, centre, timedelta(seconds=at), estimate, tasks)


@dataclass
class Outcome:
    """Hold how the jobs of a load ended, and the work that was done and discarded."""

    jobs: int = 0
    on_time: int = 0
    done: timedelta = timedelta(0)
    discarded: timedelta = timedelta(0)

    @property
    def on_time_share(self) -> float:
        """Return the share of jobs that were on time."""
        return self.on_time / self.jobs

    @property
    def discarded_share(self) -> float:
        """Return the discarded work in proportion to the work done."""
        return self.discarded / self.done


async def play_load(system, jobs: list[DrawnJob]) -> Outcome:
    """Submit `jobs` to the hosts of their data centres and return how they ended."""
    outcome = Outcome(len(jobs))
    began = system.clock.monotonic()

    async def submit(job: DrawnJob):
        for index, work in enumerate(job.tasks):
            task = TaskName(BatchId(job.name), 0, index)
            system.book.work_by_task[task] = Work(TASK_NEEDS, work)
        needs = Resources(TASK_NEEDS.cpu_millis, TASK_NEEDS.memory_mb)
        step = Step(len(job.tasks), needs, job.estimate)
        names = [n for n in sorted(system.hosts) if n.startswith(f"dc{job.centre}-")]
        host = names[int(job.name, 16) % len(names)]
        sent = system.clock.monotonic()
        batch = Batch(BatchId(job.name), "", (step,))
        result = await system.submit(host, batch, timedelta(seconds=30))
        took = system.clock.monotonic() - sent
        if result.outcome is BatchOutcome.SUCCEEDED:
            outcome.on_time += took <= job.objective

    async with anyio.create_task_group() as group:
        for job in jobs:
            await system.clock.sleep(
                max(timedelta(0), began + job.at - system.clock.monotonic())
            )
            group.start_soon(submit, job)
    for run in system.book.recorded_ends:
        if run.stopped:
            outcome.discarded += run.took
        else:
            outcome.done += run.took
    return outcome
