"""Compare policies for choosing slots and ordering jobs at two users' sizes."""

from __future__ import annotations

from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from random import Random

from brasstray.dispatch.policies import (
    FirstComeFirst,
    OrderPolicy,
    RoundRobin,
    ShortestRemainingFirst,
    SlotCredits,
    SlotPolicy,
    TwoChoices,
    UniformRandom,
)
from measure.trial import Trial
from measure.workload import LE_GOFF, VAKANTIEHUIS, Site, draw_jobs

SECONDS = 6.0
BURST = (1.0, 6.0, 10.0)
BURST_BASE_LOAD = 0.2
WORKERS = 8
POLICIES: dict[str, tuple[SlotPolicy, OrderPolicy]] = {
    "naive": (UniformRandom(), FirstComeFirst()),
    "two choices": (TwoChoices(), FirstComeFirst()),
    "credits, first come": (SlotCredits(), FirstComeFirst()),
    "credits, round robin": (SlotCredits(), RoundRobin()),
    "credits, shortest left": (SlotCredits(), ShortestRemainingFirst()),
}


@dataclass(frozen=True)
class RoutingRow:
    """Hold the results of one policy at one site and load."""

    site: str
    load: str
    policy: str
    p50_over_ideal: float
    p99_over_ideal: float
    median_excess_ms: float
    wasted_per_task: float
    peer_messages_per_task: float
    second_starts: int
    partial_answers: int


def row(site: Site, load: str, policy: str, trial: Trial) -> RoutingRow:
    """Run `trial` and return its results."""
    result = trial.run()
    return RoutingRow(
        site.name,
        load,
        policy,
        result.p50_over_ideal,
        result.p99_over_ideal,
        result.median_excess_ms,
        result.wasted_per_task,
        result.peer_messages_per_task,
        result.second_starts,
        result.partial_answers,
    )


def run(seed: int) -> list[RoutingRow]:
    """Return one row for each site, load and policy, on the same streams of jobs."""
    cases = []
    for site in (VAKANTIEHUIS, LE_GOFF):
        for load in (0.5, 0.8, 0.95, BURST_BASE_LOAD):
            burst = BURST if load == BURST_BASE_LOAD else None
            jobs = draw_jobs(site, load, SECONDS, Random(seed), burst)
            label = f"{load:.0%}" + (", burst of 10 for 5 s" if burst else "")
            for name, (slots, order) in POLICIES.items():
                cases.append((site, label, name, Trial(site, jobs, slots, order, seed)))
    with ProcessPoolExecutor(WORKERS) as workers:
        return list(workers.map(row, *zip(*cases, strict=True)))


__all__ = ["POLICIES", "RoutingRow", "row", "run"]
