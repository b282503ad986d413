"""Run demonstration jobs on a loopback system while parts of it fail."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from datetime import UTC, datetime, timedelta
from typing import TYPE_CHECKING

import anyio

from brasstray.client.client import Client
from brasstray.clock.loop import LoopClock
from brasstray.job.ids import CallerName, DataCentreName, KeyText
from brasstray.job.job_id import JobId
from brasstray.job.key import CallerKey
from brasstray.job.outcome import Outcome
from brasstray.job.request import JobRequest
from brasstray.job.task_state import TaskState
from brasstray_standins.demo_report import DemoReport, JobReport
from brasstray_standins.ideal import ideal_response
from brasstray_standins.loopback_system import (
    DATA_CENTRES,
    LOOPBACK,
    MINION_COUNT,
    SLOTS,
    LoopbackSystem,
)

if TYPE_CHECKING:
    from pathlib import Path

    from pydantic import JsonValue

    from brasstray.job.answer import Answer

CALLER = CallerName("filiaal-07")
ANSWER_TIMEOUT = timedelta(seconds=18)
KEY_LIFETIME = timedelta(hours=1)
_MILLISECOND = timedelta(milliseconds=1)


@dataclass
class DemoJob:
    """Hold a job of the demonstration and the answers that its caller received."""

    name: str
    file: str
    home: str
    key: KeyText = KeyText("")
    body: bytes = b""
    answers: list[Answer] = field(default_factory=list)
    response: timedelta = timedelta(0)

    @property
    def request(self) -> JobRequest:
        """Return the request that `body` encodes."""
        return JobRequest.model_validate_json(self.body)


def _load_jobs(examples: Path) -> list[DemoJob]:
    jobs = [
        DemoJob("leave settlement", "leave-settlement", "utrecht-b"),
        DemoJob("audit draw", "audit-draw", "utrecht-b"),
        DemoJob("leave settlement, minion dies", "leave-settlement", "amersfoort"),
        DemoJob("threshold rerun, minion dies", "threshold-rerun", "amersfoort"),
        DemoJob("audit draw, entry host dies", "audit-draw", "utrecht-a"),
    ]
    expires = (datetime.now(UTC) + KEY_LIFETIME).replace(microsecond=0)
    for number, job in enumerate(jobs):
        name = f"demo-{number}"
        job.key = CallerKey(expires, DataCentreName(job.home), name).text()
        job.body = (examples / f"{job.file}.json").read_bytes()
    return jobs


async def run_demo(seed: int, examples: Path) -> DemoReport:
    """Run the jobs while hosts and minions fail, and return the report.

    Raise OSError if the job files are not in `examples`.
    """
    report = DemoReport()
    jobs = _load_jobs(examples)
    async with anyio.create_task_group() as group:
        system = LoopbackSystem(group, seed)
        system.start()
        await system.settle()
        url = f"http://{LOOPBACK}:{system.balancer_port}"
        client = Client(url, CALLER, LoopClock())
        async with anyio.create_task_group() as callers:
            for job in jobs:
                callers.start_soon(_call, client, job)
            await _inject_faults(system, client, jobs, callers, report)
        _add_job_reports(system, jobs, report)
        report.counts = system.metrics.totals()
        report.counts["balancer repeats"] = {"": system.balancer.retries}
        group.cancel_scope.cancel()
    return report


async def _call(client: Client, job: DemoJob) -> None:
    started_at = anyio.current_time()
    answer = await client.submit_until_final(job.body, job.key, ANSWER_TIMEOUT)
    if not job.answers:
        job.response = timedelta(seconds=anyio.current_time() - started_at)
    job.answers.append(answer)


async def _inject_faults(
    system: LoopbackSystem,
    client: Client,
    jobs: list[DemoJob],
    callers: anyio.abc.TaskGroup,
    report: DemoReport,
) -> None:
    await anyio.sleep(0.4)
    minion = DATA_CENTRES.index("amersfoort")
    system.kill_minion(minion)
    report.events.append(f"killed {system.minions[minion].name} in amersfoort")
    executor = _find_executor(system, jobs[-1].key)
    if executor is not None:
        system.kill_daemon(executor)
        report.events.append(f"killed {executor}, which was running: {jobs[-1].name}")
    for job in (jobs[0], jobs[1], jobs[2]):
        callers.start_soon(_call, client, job)
    report.events.append("resubmitted three jobs with the same keys")
    await anyio.sleep(2.0)
    callers.start_soon(_call, client, jobs[0])
    report.events.append("resubmitted an answered job with the same key")


def _find_executor(system: LoopbackSystem, key: KeyText) -> str | None:
    job = JobId(caller=CALLER, key=key)
    for name, running in system.daemons.items():
        host = running.daemon.host
        if host is not None and host.executions.get(job) is not None:
            return name
    return None


def _add_job_reports(
    system: LoopbackSystem, jobs: list[DemoJob], report: DemoReport
) -> None:
    for job in jobs:
        starts = system.starts(job.key)
        answer = job.answers[0]
        request = job.request
        report.broken_rules.extend(_broken_rules(job, starts))
        minions = len(range(DATA_CENTRES.index(job.home), MINION_COUNT, 3))
        run_times = [_run_ms(task.payload) for task in request.tasks]
        ideal = ideal_response(run_times, minions * SLOTS)
        report.jobs.append(
            JobReport(
                name=job.name,
                repeatable=request.repeatable,
                outcome=answer.outcome.value,
                reason=answer.reason.value if answer.reason else None,
                task_states=dict(Counter(t.state.value for t in answer.tasks)),
                most_starts=max(starts.values(), default=0),
                response_ms=job.response // _MILLISECOND,
                ideal_ms=ideal // _MILLISECOND,
                resubmissions=len(job.answers) - 1,
            )
        )


def _run_ms(payload: JsonValue) -> int:
    run_ms = payload.get("run_ms") if isinstance(payload, dict) else None
    return run_ms if isinstance(run_ms, int) else 0


def _broken_rules(job: DemoJob, starts: dict[str, int]) -> list[str]:
    broken = []
    first, request = job.answers[0], job.request
    if not first.outcome.final:
        broken.append(f"{job.name}: no final answer, but {first.outcome.value}")
    if not request.repeatable and any(count > 1 for count in starts.values()):
        broken.append(f"{job.name}: a task started twice")
    if any(answer.final_result != first.final_result for answer in job.answers):
        broken.append(f"{job.name}: two answers to one job")
    done = [task.state is TaskState.DONE for task in first.tasks]
    if first.outcome is Outcome.COMPLETE and not (
        len(done) == len(request.tasks) and all(done)
    ):
        broken.append(f"{job.name}: a partial answer was reported as complete")
    for index, task in enumerate(first.tasks):
        count = starts.get(f"{CALLER}/{job.key}/{index}", 0)
        if task.state is TaskState.NOT_RUN and count > 0:
            broken.append(f"{job.name}: task {index} ran but was reported as not run")
        if task.state is TaskState.DONE and count == 0:
            broken.append(
                f"{job.name}: task {index} was reported as done but never ran"
            )
    return broken


def render(report: DemoReport) -> str:
    """Return the report as human-readable text."""
    lines = ["Faults and resubmissions:"]
    lines += [f"  {event}" for event in report.events]
    lines.append("Jobs:")
    for job in report.jobs:
        reason = f" ({job.reason})" if job.reason else ""
        states = ", ".join(f"{n} {state}" for state, n in job.task_states.items())
        lines += [
            f"  {job.name}: {job.outcome}{reason}",
            f"    tasks: {states}; most starts of a task: {job.most_starts}; "
            f"resubmitted {job.resubmissions} times",
            f"    response {job.response_ms} ms; ideal, with its data centre's slots "
            f"to itself: {job.ideal_ms} ms",
        ]
    lines.append("Counts:")
    for counter, counts in sorted(report.counts.items()):
        text = ", ".join(f"{name} {n}".strip() for name, n in sorted(counts.items()))
        lines.append(f"  {counter.removeprefix('brasstray.')}: {text}")
    lines.append("Broken rules: " + ("none" if not report.broken_rules else ""))
    lines += [f"  {rule}" for rule in report.broken_rules]
    return "\n".join(lines)


__all__ = ["render", "run_demo"]
