"""Test the conversion of the platform's formats to the project's types."""

from __future__ import annotations

import json
from datetime import timedelta

import pytest

from brasstray.batch.ids import BatchId, RunNumber
from brasstray.batch.task_name import TaskName
from brasstray.host.operator_source import UnreadableConfigError
from brasstray.platform.configuration_body import parse_configuration
from brasstray.platform.job_bodies import (
    UnreadableJobError,
    UnsupportedJobError,
    parse_job,
)
from brasstray.platform.minion_bodies import HoldBody, HoldReply
from brasstray.platform.task_name_format import format_task_name, parse_task_name
from brasstray.pool.probe_reply import ActiveRun, EndedRun, RunEnd

JOB = "5c0e7a21d94b36f8"
ROUTE = {
    "Name": "r-1",
    "Host": "a.example",
    "Prefix": "/q/",
    "Type": "non_idempotent",
    "TimeoutMs": 1500,
    "SloMs": 60,
    "Priority": 2,
    "Service": "s",
    "Attempts": 3,
    "Stretch": 1.6,
    "SomethingNew": {"x": 1},
}


def config(**changes):
    body = {"Version": 7, "Routes": [ROUTE], "Services": [], "Limits": {}} | changes
    return json.dumps(body).encode()


def test_a_configuration_is_decoded():
    found = parse_configuration(config(Limits={"MaxBodyBytes": 99}))
    queue = found.queues[0]
    assert found.version == 7
    assert found.limits.body_bytes == 99
    assert queue.service == "s"
    assert queue.slack == timedelta(milliseconds=60)
    assert (queue.priority, queue.attempts, queue.stretch) == (2, 3, 1.6)


@pytest.mark.parametrize(
    ("host", "path", "name"),
    [
        ("a.example", "/q/" + JOB, "r-1"),
        ("a.example", "/q/deep/" + JOB, "r-2"),
        ("b.example", "/q/" + JOB, None),
        ("a.example", "/other/" + JOB, None),
    ],
)
def test_the_longest_prefix_at_a_host_selects_the_queue(host, path, name):
    deeper = ROUTE | {"Name": "r-2", "Prefix": "/q/deep/"}
    found = parse_configuration(config(Routes=[ROUTE, deeper]))
    queue = found.queue_for(host, path)
    assert (queue.name if queue else None) == name


@pytest.mark.parametrize("text", [b"", b"{", b"[]", b'{"Version": "x"}'])
def test_a_configuration_that_cannot_be_read_is_an_error(text):
    with pytest.raises(UnreadableConfigError):
        parse_configuration(text)


def job(best_effort=True, **step):
    body = {"Spec": "s", "Steps": [{"Count": 2, "Cpu": 500, "EstMs": 90} | step]}
    return json.dumps(body | ({"BestEffort": True} if best_effort else {})).encode()


def test_a_job_is_decoded():
    found = parse_job(JOB, job(DataRack="r1", MaxPerServer=1, MemMb=64))
    step = found.steps[0]
    assert (found.id, found.spec) == (JOB, "s")
    assert (step.count, step.needs.cpu_millis, step.needs.memory_mb) == (2, 500, 64)
    assert step.estimate == timedelta(milliseconds=90)
    assert (step.rack, step.max_per_minion) == ("r1", 1)


@pytest.mark.parametrize(
    ("text", "error"),
    [
        (b"", UnreadableJobError),
        (b'{"Steps": [], "BestEffort": true}', UnreadableJobError),
        (job(Count=0), UnreadableJobError),
        (job(After=[0]), UnreadableJobError),
        (job(Cpu=-1), UnreadableJobError),
        (job(best_effort=False), UnsupportedJobError),
        (job(Gang=True), UnsupportedJobError),
    ],
)
def test_an_invalid_or_unsupported_job_is_rejected_with_a_reason(text, error):
    with pytest.raises(error, match=r"\w+"):
        parse_job(JOB, text)


def test_task_names_are_formatted_and_parsed():
    name = TaskName(BatchId(JOB), 1, 17)
    assert format_task_name(name) == f"{JOB}.0.1.17"
    assert parse_task_name(format_task_name(name)) == name


def test_a_hold_request_omits_unset_fields():
    body = json.loads(HoldBody(fencing_token=7, last_seen=0).encode())
    assert body == {"FencingToken": 7, "LastSeen": 0}


def test_a_hold_reply_is_decoded():
    running = [[f"{JOB}.0.0.1", 2, "", 41, 6800.5]]
    finished = [[58, f"{JOB}.0.0.2", 1, "alone", ""]]
    text = json.dumps({"ClockMs": 5, "Running": running, "Finished": finished})
    reply = HoldReply.decode(text).to_probe_reply()
    name = BatchId(JOB)
    assert reply.clock_ms == 5
    assert reply.active == (ActiveRun(TaskName(name, 0, 1), RunNumber(2), 41),)
    broken = EndedRun(58, TaskName(name, 0, 2), RunNumber(1), RunEnd.BROKEN)
    assert reply.ended == (broken,)


# Guards against a job that takes the memory of a host: each task is an object of it.
@pytest.mark.parametrize(
    ("steps", "count"), [(1, 10_001), (2, 5_001), (20, 10_000), (100, 10_000)]
)
def test_a_job_of_too_many_tasks_is_rejected(steps, count):
    body = {"Spec": "s", "Steps": [{"Count": count}] * steps, "BestEffort": True}
    with pytest.raises(UnreadableJobError, match="10000"):
        parse_job("a" * 16, json.dumps(body).encode())


@pytest.mark.parametrize(("steps", "count"), [(1, 10_000), (10_000, 1), (100, 100)])
def test_a_job_of_the_largest_size_is_accepted(steps, count):
    body = {"Spec": "s", "Steps": [{"Count": count}] * steps, "BestEffort": True}
    batch = parse_job("a" * 16, json.dumps(body).encode())
    assert sum(step.count for step in batch.steps) == 10_000
