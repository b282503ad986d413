"""Compare entry hosts with a reference dispatcher on random streams of jobs."""

from __future__ import annotations

from dataclasses import dataclass

import anyio
from hypothesis import HealthCheck, given, settings, strategies as st

from brasstray.job.outcome import Outcome
from brasstray.job.reason import Reason
from brasstray_standins.memory_system import (
    CallerDisconnectedError,
    SystemSize,
    leave_job,
)

HOSTS = 4
FAULTS = ("none", "kill", "pause", "platform", "lose replies", "cut")


@dataclass(frozen=True)
class Submission:
    """Describe the submission of a job to a host, and the pause after it."""

    job: int
    content: int
    host: int
    pause_ms: int


@dataclass(frozen=True)
class Fault:
    """Describe a fault of a host, injected before submission number `before`."""

    kind: str
    host: int
    before: int


SUBMISSIONS = st.lists(
    st.builds(
        Submission,
        st.integers(0, 3),
        st.sampled_from([0, 0, 0, 1]),
        st.integers(0, HOSTS - 1),
        st.integers(0, 700),
    ),
    min_size=1,
    max_size=10,
)
FAULT_LISTS = st.lists(
    st.builds(
        Fault, st.sampled_from(FAULTS), st.integers(0, HOSTS - 1), st.integers(0, 9)
    ),
    max_size=3,
)


class ReferenceDispatcher:
    """Run the job of each key once, in a single process that never fails."""

    def __init__(self):
        self._contents = {}
        self.starts = {}

    def submit(self, key, request):
        if self._contents.setdefault(key, request) != request:
            return Outcome.REFUSED
        self.starts.setdefault(key, len(request.tasks))
        return Outcome.COMPLETE


def request_of(submission):
    return leave_job(3 + submission.content, 400)


def inject_fault(system, fault):
    name = system.name(fault.host)
    match fault.kind:
        case "kill" if len(system.hosts) > 2:
            system.kill(name)
        case "pause":
            system.pause(name)
        case "platform":
            system.platform.faults.down = not system.platform.faults.down
        case "lose replies":
            system.platform.faults.lose_replies = 2
            system.network.lose_replies = 2
        case "cut" if name in system.hosts:
            system.isolate({name})


def clear_faults(system):
    system.platform.faults.down = False
    system.network.heal()
    system.end()


async def run_stream(system, submissions, faults):
    answers = []
    keys = {job: system.key(f"job-{job}") for job in range(4)}

    async def submit(submission):
        host = system.hosts.get(system.name(submission.host))
        if host is None:
            return
        try:
            answer = await system.submit(
                host, keys[submission.job], request_of(submission), wait=20
            )
        except CallerDisconnectedError:
            return
        answers.append((submission, answer))

    async with anyio.create_task_group() as callers:
        for number, submission in enumerate(submissions):
            for fault in faults:
                if fault.before == number:
                    inject_fault(system, fault)
            callers.start_soon(submit, submission)
            await anyio.sleep(submission.pause_ms / 1_000)
        await anyio.sleep(15)
        clear_faults(system)
    for submission in submissions:
        await submit(
            Submission(submission.job, submission.content, first_live_host(system), 0)
        )
    return answers, keys


def first_live_host(system):
    return next(n for n in range(HOSTS) if system.name(n) in system.hosts)


@settings(
    max_examples=25,
    deadline=None,
    derandomize=True,
    database=None,
    suppress_health_check=list(HealthCheck),
)
@given(SUBMISSIONS)
def test_without_faults_answers_match_the_reference(play, submissions):
    async def scenario(system):
        answers, keys = await run_stream(system, submissions, ())
        return answers, {k: system.starts_of(text) for k, text in keys.items()}

    answers, starts = play(scenario, SystemSize(hosts_each=HOSTS))
    reference = ReferenceDispatcher()
    first = {}
    for submission in submissions:
        first.setdefault(submission.job, submission.content)
        reference.submit(submission.job, request_of(submission))
    contents = {}
    for submission, answer in answers:
        if answer.outcome is Outcome.COMPLETE:
            contents.setdefault(submission.job, submission.content)
    for submission, answer in answers:
        same = contents[submission.job] == submission.content
        assert answer.outcome is (Outcome.COMPLETE if same else Outcome.REFUSED)
        assert same or answer.reason is Reason.KEY_CONFLICT
    for job, content in contents.items():
        assert list(starts[job].values()) == [1] * (3 + content)
    assert set(contents) == set(reference.starts)


@settings(
    max_examples=60,
    deadline=None,
    derandomize=True,
    database=None,
    suppress_health_check=list(HealthCheck),
)
@given(SUBMISSIONS, FAULT_LISTS)
def test_under_faults_no_task_starts_twice_and_answers_agree(play, submissions, faults):
    async def scenario(system):
        answers, keys = await run_stream(system, submissions, faults)
        return answers, {k: system.starts_of(text) for k, text in keys.items()}

    answers, starts = play(scenario, SystemSize(hosts_each=HOSTS))
    assert all(n == 1 for counts in starts.values() for n in counts.values())
    final_results = {}
    for submission, answer in answers:
        if not answer.outcome.final:
            continue
        final_result = final_results.setdefault(submission.job, answer.final_result)
        assert answer.final_result == final_result, (submission, answer)
        if answer.outcome is Outcome.COMPLETE:
            assert len(starts[submission.job]) == len(answer.tasks)
