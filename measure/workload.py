"""Generate random streams of jobs that resemble the users' workloads."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from random import Random

MIN_RUN_MS = 50
MAX_RUN_MS = 3_000
JOB_SIZES = (1, 3, 10, 40, 150)
JOB_WEIGHTS = (30, 30, 25, 12, 3)


@dataclass(frozen=True)
class Site:
    """Hold the size of a user's data centre and the run times of its tasks.

    The run times have a log-normal distribution: `mean_log_ms` and `sigma` are the mean
    and the standard deviation of the logarithm of the milliseconds.
    """

    name: str
    hosts: int
    minions: int
    slots: int
    mean_log_ms: float
    sigma: float

    @property
    def total_slots(self) -> int:
        """Return the number of tasks that can run at once."""
        return self.minions * self.slots


# One data centre: a third of each user's 8 entry hosts and 25 minions.
VAKANTIEHUIS = Site("vakantiehuis", 3, 8, 8, 5.2, 0.6)
LE_GOFF = Site("le goff", 3, 8, 8, 5.6, 0.8)


@dataclass(frozen=True)
class DrawnJob:
    """Hold a job's arrival time in seconds and its tasks' run times."""

    number: int
    arrives: float
    run_ms: tuple[int, ...]


def draw_run_ms(site: Site, random: Random) -> int:
    """Return a random run time of a task in milliseconds."""
    drawn = random.lognormvariate(site.mean_log_ms, site.sigma)
    return int(min(MAX_RUN_MS, max(MIN_RUN_MS, drawn)))


def draw_jobs(
    site: Site,
    load: float,
    seconds: float,
    random: Random,
    burst: tuple[float, float, float] | None = None,
) -> list[DrawnJob]:
    """Return random jobs whose tasks occupy the share `load` of the slots.

    `burst` holds the start and end of a burst in seconds, and the factor by which it
    multiplies the arrival rate.
    """
    sample = [draw_run_ms(site, random) for _ in range(20_000)]
    mean_tasks = sum(
        size * weight for size, weight in zip(JOB_SIZES, JOB_WEIGHTS, strict=True)
    ) / sum(JOB_WEIGHTS)
    mean_job_seconds = mean_tasks * sum(sample) / len(sample) / 1_000
    rate = load * site.total_slots / mean_job_seconds
    jobs: list[DrawnJob] = []
    now = 0.0
    while True:
        factor = 1.0
        if burst is not None and burst[0] <= now < burst[1]:
            factor = burst[2]
        now += random.expovariate(rate * factor)
        if now >= seconds:
            return jobs
        size = random.choices(JOB_SIZES, JOB_WEIGHTS)[0]
        run_ms = tuple(draw_run_ms(site, random) for _ in range(size))
        jobs.append(DrawnJob(len(jobs), now, run_ms))


__all__ = ["LE_GOFF", "VAKANTIEHUIS", "DrawnJob", "Site", "draw_jobs", "draw_run_ms"]
