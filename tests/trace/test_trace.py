"""Check that tracing a request finds the log line that explains its outcome."""

from __future__ import annotations

import json

import pytest
from typer.testing import CliRunner

from brasstray.command.main import app
from brasstray.trace.errors import UnknownJobError, UnreadableLogError
from brasstray.trace.log_reader import parse_line, read_logs
from brasstray.trace.trace import trace_job

JOB = "56afe940030edd02"


def line(at, host, kind, /, **fields):
    """Return a line as a log collector stores it, after its time and host."""
    body = {**fields, "timestamp": 1.0, "message_type": f"brasstray:{kind}"}
    return f"  {at:.4f} {host} {json.dumps(body)}"


def answer(at, outcome, reason=None, /, **fields):
    return line(at, "a2", "answer", job=JOB, outcome=outcome, reason=reason, **fields)


FAILED_RUN = {"end": "failed", "task": "0.1", "run": 3, "minion": "m1"}
# For each case the log lines, and the kind and time of the line that is the cause.
CASES = {
    "refused under load": (
        [
            line(2.373, "a1", "rejected", job=JOB, tasks=8, wait_ms=115),
            answer(2.374, "not_run", "overloaded"),
        ],
        ("rejected", 2.373),
    ),
    "late since a minion left a start unanswered": (
        [
            line(3.381, "b2", "start_unanswered", job=JOB, task="0.1", minion="m1"),
            line(3.583, "b2", "run_ended", job=JOB, end="stopped", percent=0),
            answer(3.689, "succeeded", took_ms=438, objective_ms=172),
        ],
        ("start_unanswered", 3.381),
    ),
    "broken off by a lost owner": (
        [
            line(32.755, "a1", "forwarded", job=JOB, tasks=1, pool="amersfoort"),
            line(33.970, "a2", "owner_lost", pool="utrecht-b", host="b2"),
            line(33.974, "a2", "owner_lost", pool="amersfoort", host="c2"),
            line(34.100, "a3", "owner_lost", pool="amersfoort", host="c2"),
            answer(34.881, "unknown", "pool_lost", unfinished={"0.3": "amersfoort"}),
        ],
        ("owner_lost", 33.974),
    ),
    "failed everywhere": (
        [
            line(1.1, "a1", "run_ended", job=JOB, **FAILED_RUN),
            line(1.2, "a1", "run_ended", job=JOB, **FAILED_RUN),
            answer(1.3, "failed", "task_failed"),
        ],
        ("run_ended", 1.2),
    ),
    "no owner in reach": (
        [
            line(4.0, "a2", "owner_lost", pool="utrecht-a", host="a1"),
            line(4.1, "a3", "owner_lost", pool="utrecht-a", host="a1"),
            answer(4.5, "not_run", "no_pool"),
        ],
        ("owner_lost", 4.0),
    ),
    "its data centres are evacuated": (
        [
            line(1.0, "a2", "evacuations_changed", data_centres=["a", "b"], as_of=7),
            line(1.1, "a3", "evacuations_changed", data_centres=["a", "b"], as_of=7),
            answer(9.0, "not_run", "evacuated"),
        ],
        ("evacuations_changed", 1.0),
    ),
    "its host was suspended": (
        [
            line(5.0, "a2", "suspended", milliseconds=900),
            answer(5.0, "unknown", "stopping"),
        ],
        ("suspended", 5.0),
    ),
    "in doubt after a takeover": (
        [
            line(6.0, "a1", "dropped", job=JOB, reason="outcome_unknown"),
            answer(6.0, "unknown", "pool_lost", unfinished={}),
        ],
        ("dropped", 6.0),
    ),
    "in time": (
        [answer(1.0, "succeeded", took_ms=60, objective_ms=90)],
        ("answer", 1.0),
    ),
    "refused before anything was done": (
        [line(1.0, "a2", "refused", job=JOB, reason="no_configuration")],
        ("refused", 1.0),
    ),
    "its host died": (
        [line(7.0, "a1", "dropped", job=JOB, reason="requester_silent")],
        ("dropped", 7.0),
    ),
}


def read(tmp_path, lines):
    path = tmp_path / "hosts.log"
    path.write_text("\n".join(lines) + "\n")
    return path


@pytest.mark.parametrize("name", CASES)
def test_the_deciding_line_is_found(tmp_path, name):
    # Lines may come in any order, and lines of other requests are ignored.
    lines, expected_cause = CASES[name]
    noise = line(0.5, "a2", "answer", job="0" * 16, outcome="not_run")
    trace = trace_job(JOB, read_logs([read(tmp_path, [*reversed(lines), noise])]))
    assert (trace.cause.line.kind, trace.cause.line.at) == expected_cause
    assert [x.at for x in trace.timeline] == sorted(x.at for x in trace.timeline)
    assert all(x.job == JOB for x in trace.timeline)


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ('{"message_type": "brasstray:stopped", "timestamp": 2.5}', (2.5, "a1")),
        ('  7.25 b1 {"message_type": "brasstray:stopped"}', (7.25, "b1")),
        ('warn b1 {"message_type": "brasstray:stopped"}', (0.0, "a1")),
        ('{"message_type": "other:stopped"}', None),
        ("Traceback (most recent call last):", None),
        ('{"message_type": "brasstray:sto', None),
    ],
)
def test_only_lines_of_hosts_are_parsed(text, expected):
    line = parse_line(text, "a1")
    assert (None if line is None else (line.at, line.host)) == expected


def test_dropped_lines_are_counted(tmp_path):
    lines, _ = CASES["refused under load"]
    dropped = line(3.0, "a1", "lines_dropped", count=7)
    assert trace_job(JOB, read_logs([read(tmp_path, [*lines, dropped])])).dropped == 7


def test_an_id_that_no_line_names_is_an_error(tmp_path):
    with pytest.raises(UnknownJobError):
        trace_job(JOB, read_logs([read(tmp_path, [])]))


def test_a_log_that_cannot_be_read_is_an_error(tmp_path):
    with pytest.raises(UnreadableLogError):
        read_logs([tmp_path / "missing.log"])


@pytest.mark.parametrize(
    ("job", "status", "expected_output"),
    [
        (JOB, 0, "* 2.373 a1 rejected job=56afe940030edd02 tasks=8 wait_ms=115"),
        ("f" * 16, 1, "no line names this request"),
    ],
)
def test_the_command_marks_the_deciding_line(tmp_path, job, status, expected_output):
    path = read(tmp_path, CASES["refused under load"][0])
    result = CliRunner().invoke(app, ["trace", job, str(path)])
    assert result.exit_code == status
    assert expected_output in result.output


def test_the_command_prints_json(tmp_path):
    path = read(tmp_path, CASES["refused under load"][0])
    result = CliRunner().invoke(app, ["trace", JOB, str(path), "--json"])
    assert json.loads(result.stdout)["cause"]["line"]["kind"] == "rejected"
