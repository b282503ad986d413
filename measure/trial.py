"""Run one stream of jobs through real entry hosts and simulated minions."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from random import Random
from typing import TYPE_CHECKING

import anyio

from brasstray.job.outcome import Outcome
from brasstray_standins.memory_system import (
    CallerDisconnectedError,
    MemorySystem,
    SystemSize,
    leave_job,
)
from measure.ideal import ideal_responses
from measure.virtual import run_virtual

if TYPE_CHECKING:
    from collections import Counter
    from collections.abc import Awaitable, Callable

    from brasstray.dispatch.policies import OrderPolicy, SlotPolicy
    from brasstray.job.answer import Answer
    from measure.workload import DrawnJob, Site

ANSWER_TIMEOUT_SECONDS = 60.0


@dataclass(frozen=True)
class TrialResult:
    """Hold the results of one policy on one stream of jobs."""

    p50_over_ideal: float
    p99_over_ideal: float
    median_excess_ms: float
    wasted_per_task: float
    peer_messages_per_task: float
    second_starts: int
    partial_answers: int
    complete: float


@dataclass(frozen=True)
class Trial:
    """Hold a stream of jobs, the policies to serve it, and a fault to inject."""

    site: Site
    jobs: list[DrawnJob]
    slots: SlotPolicy
    order: OrderPolicy
    seed: int
    inject_fault: Callable[[MemorySystem], Awaitable[None]] | None = None

    def run(self) -> TrialResult:
        """Run the jobs on a virtual clock and return the results."""
        return run_virtual(self.seed, self._run_jobs)

    async def _run_jobs(self) -> TrialResult:
        responses: dict[int, float] = {}
        answers: dict[int, Answer] = {}
        async with anyio.create_task_group() as group:
            system = self._build_system(group)
            system.start_all()
            await system.settle()
            sent, calls = system.starts.sends, system.network.calls
            async with anyio.create_task_group() as callers:
                if self.inject_fault is not None:
                    callers.start_soon(self.inject_fault, system)
                started_at = anyio.current_time()
                for job in self.jobs:
                    await anyio.sleep_until(started_at + job.arrives)
                    callers.start_soon(self._call, system, job, responses, answers)
            result = self._summarize(
                system,
                responses,
                answers,
                system.starts.sends - sent,
                (system.network.calls - calls).total()
                - _heartbeats_since(system, calls),
            )
            system.end()
            group.cancel_scope.cancel()
        return result

    def _build_system(self, group) -> MemorySystem:
        size = SystemSize(1, self.site.hosts, self.site.minions, self.site.slots)
        return MemorySystem(group, size, self.seed, None, self.slots, self.order)

    async def _call(
        self,
        system: MemorySystem,
        job: DrawnJob,
        responses: dict[int, float],
        answers: dict[int, Answer],
    ) -> None:
        started_at = anyio.current_time()
        key = system.key(f"job-{job.number}")
        request = leave_job(len(job.run_ms), deadline_ms=60_000)
        tasks = [
            task.model_copy(update={"payload": {"run_ms": run_ms}})
            for task, run_ms in zip(request.tasks, job.run_ms, strict=True)
        ]
        request = request.model_copy(update={"tasks": tasks})
        random = Random(job.number)
        while anyio.current_time() - started_at < ANSWER_TIMEOUT_SECONDS:
            host = random.choice(list(system.hosts.values()))
            try:
                answer = await system.submit(host, key, request)
            except CallerDisconnectedError:
                await system.clock.sleep(timedelta(milliseconds=500))
                continue
            answers[job.number] = answer
            if answer.outcome is not Outcome.NOT_YET_KNOWN:
                responses[job.number] = anyio.current_time() - started_at
                return
            await system.clock.sleep(timedelta(seconds=1))

    def _summarize(
        self,
        system: MemorySystem,
        responses: dict[int, float],
        answers: dict[int, Answer],
        sends: int,
        calls: int,
    ) -> TrialResult:
        complete = [
            number
            for number, answer in answers.items()
            if answer.outcome is Outcome.COMPLETE
        ]
        ideal = ideal_responses(self.jobs, self.site.total_slots)
        ratios = sorted(responses[n] / ideal[n] for n in complete) or [float("nan")]
        excess = sorted(responses[n] - ideal[n] for n in complete) or [float("nan")]
        starts = [n for m in system.minions.values() for n in m.starts.values()]
        tasks = sum(len(job.run_ms) for job in self.jobs)
        sizes = {job.number: len(job.run_ms) for job in self.jobs}
        return TrialResult(
            p50_over_ideal=ratios[len(ratios) // 2],
            p99_over_ideal=ratios[min(len(ratios) - 1, len(ratios) * 99 // 100)],
            median_excess_ms=excess[len(excess) // 2] * 1_000,
            wasted_per_task=(sends - sum(1 for _ in starts)) / tasks,
            peer_messages_per_task=calls / tasks,
            second_starts=sum(n - 1 for n in starts if n > 1),
            partial_answers=sum(len(answers[n].tasks) != sizes[n] for n in complete),
            complete=len(complete) / len(self.jobs),
        )


def _heartbeats_since(system: MemorySystem, before: Counter[str]) -> int:
    return system.network.calls["heartbeat"] - before["heartbeat"]


__all__ = ["Trial", "TrialResult"]
