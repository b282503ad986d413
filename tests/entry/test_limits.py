"""Test deadlines, overload and mass cancellations."""

from __future__ import annotations

from dataclasses import replace

import anyio
import pytest

from brasstray.entry.job_runner import JobRunner
from brasstray.job.outcome import Outcome
from brasstray.job.reason import Reason
from brasstray_standins.memory_system import leave_job


def misreported_tasks(answer, starts, key):
    """Return the indices of tasks whose reported state contradicts their starts."""
    counts = {
        int(task.rsplit("/", 1)[1]): n for task, n in starts.items() if key in task
    }
    allowed = {"done": (1,), "not run": (0,), "may have run": (0, 1)}
    return [
        index
        for index, task in enumerate(answer.tasks)
        if counts.get(index, 0) not in allowed[task.state.value]
    ]


@pytest.mark.parametrize(
    ("tasks", "run_ms", "deadline_ms", "done", "not_run"),
    [(10, 100, 5_000, 10, 0), (100, 1_000, 2_500, 64, 4), (5, 60_000, 1_000, 0, 0)],
)
def test_a_deadline_ends_a_job_and_reports_each_task_correctly(
    play, tasks, run_ms, deadline_ms, done, not_run
):
    """A job misses its deadline: it has too many tasks for the slots, or a long one.

    At the deadline, and not later, the answer must report which tasks were done, which
    were not run and which may have run.
    """

    async def scenario(system):
        key = system.key("a")
        started_at = anyio.current_time()
        request = leave_job(tasks, run_ms, deadline_ms=deadline_ms)
        answer = await system.submit(system.non_leader(), key, request)
        return answer, anyio.current_time() - started_at, system.starts_of(key), key

    answer, elapsed, starts, key = play(scenario)
    states = [task.state.value for task in answer.tasks]
    assert misreported_tasks(answer, starts, key) == []
    assert states.count("done") == done
    assert states.count("not run") == not_run
    assert (answer.reason is Reason.DEADLINE) == (done < tasks)
    assert elapsed < deadline_ms / 1_000 + 0.1


def test_an_overloaded_host_refuses_and_the_key_stays_usable(play, monkeypatch):
    """A burst of jobs reaches the limit of a host, which must refuse the next one.

    The refusal says when to retry, and a retry with the same key then runs the job. The
    key stays bound to the executor, which knows that it has not run the job.
    """

    async def scenario(system):
        host = system.non_leader()
        runner: JobRunner = host.jobs._runner
        monkeypatch.setattr(runner, "_config", replace(runner._config, max_jobs=1))
        first, key = system.key("first"), system.key("a")
        async with anyio.create_task_group() as group:
            group.start_soon(system.submit, host, first, leave_job(1, 1_000))
            await anyio.sleep(0.1)
            refused = await system.submit(host, key, leave_job(1))
        return (
            refused,
            await system.submit(host, key, leave_job(1)),
            system.starts_of(key),
        )

    refused, answer, starts = play(scenario)
    assert (refused.outcome, refused.reason) == (Outcome.REFUSED, Reason.OVERLOADED)
    assert refused.retry_after_ms > 0
    assert answer.outcome is Outcome.COMPLETE
    assert list(starts.values()) == [1]


def test_mass_cancellation_stops_starts_and_reports_each_task_correctly(play):
    """One caller cancels 400 waiting jobs with thousands of tasks at once.

    No job may start another task, all must be answered within a second, and the state
    reported of each task must be correct.
    """

    async def scenario(system):
        keys = [system.key(f"draw-{number}") for number in range(400)]
        hosts = list(system.hosts.values())
        answers = {}

        async def cancel(number):
            host = hosts[(number + 1) % len(hosts)]
            answers[keys[number]] = await system.cancel(host, keys[number])

        async with anyio.create_task_group() as callers:
            for number, key in enumerate(keys):
                host = hosts[number % len(hosts)]
                callers.start_soon(system.submit, host, key, leave_job(10, 500))
            await anyio.sleep(2)
            started_at = anyio.current_time()
            async with anyio.create_task_group() as group:
                for number in range(len(keys)):
                    group.start_soon(cancel, number)
            elapsed = anyio.current_time() - started_at
        starts = {key: system.starts_of(key) for key in keys}
        await anyio.sleep(5)
        later = {key: system.starts_of(key) for key in keys}
        return answers, starts, later, elapsed

    answers, starts, later, elapsed = play(scenario)
    assert len(answers) == 400
    assert later == starts
    assert elapsed < 1
    assert sum(answer.reason is Reason.CANCELLED for answer in answers.values()) > 350
    assert all(
        misreported_tasks(a, starts[key], key) == [] for key, a in answers.items()
    )
    assert all(n == 1 for counts in starts.values() for n in counts.values())
