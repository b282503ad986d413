"""Check responses to callers over HTTP, also to bad input."""

from __future__ import annotations

import json

import pytest

from brasstray.http.caller_app import MAX_BODY_BYTES, CallerApp

JOB = {"service": "verlofdienst", "period": "2026-12", "tasks": [{"payload": 1}]}
GOOD_KEY = "own~20261231T090000Z~dc-0~a"
IDENTITY = ("x-brasstray-caller", "filiaal-07")


async def send_request(app, method, path, headers=(), body=b"", query=""):
    sent = []

    async def receive():
        return {"type": "http.request", "body": body, "more_body": False}

    async def send(event):
        sent.append(event)

    scope = {
        "type": "http",
        "method": method,
        "path": path,
        "query_string": query.encode(),
        "headers": [(k.encode(), v.encode()) for k, v in headers],
    }
    await app(scope, receive, send)
    return sent[0]["status"], json.loads(sent[1]["body"])


def send_requests(play, *requests):
    async def scenario(system):
        app = CallerApp(system.leader())
        replies = [await send_request(app, *request) for request in requests]
        return replies, sum(sum(m.starts.values()) for m in system.minions.values())

    return play(scenario)


@pytest.mark.parametrize(
    ("headers", "body", "status", "reason"),
    [
        ([IDENTITY], b"hello", 400, "bad_request"),
        ([IDENTITY], b"[]", 400, "bad_request"),
        ([IDENTITY], {**JOB, "tasks": []}, 400, "bad_request"),
        ([IDENTITY], {**JOB, "tasks": [{"payload": 1}] * 1_701}, 400, "bad_request"),
        ([IDENTITY], {**JOB, "service": 5}, 400, "bad_request"),
        ([IDENTITY], {**JOB, "colour": 1}, 400, "bad_request"),
        ([IDENTITY], {**JOB, "deadline_ms": 0}, 400, "bad_request"),
        ([IDENTITY], {**JOB, "service": "printer"}, 400, "unknown_service"),
        ([IDENTITY], JOB, 400, "key_required"),
        ([], JOB, 401, "identity_missing"),
        ([("x-brasstray-caller", "a b")], JOB, 401, "identity_missing"),
        ([IDENTITY], b" " * (MAX_BODY_BYTES + 1), 413, "too_large"),
        ([IDENTITY, ("idempotency-key", "x")], JOB, 400, "bad_request"),
    ],
)
def test_bad_input_is_refused_with_a_reason(play, headers, body, status, reason):
    data = body if isinstance(body, bytes) else json.dumps(body).encode()
    [(actual_status, answer)], starts = send_requests(
        play, ("POST", "/v1/jobs", headers, data)
    )
    assert actual_status == status
    assert (answer["outcome"], answer["reason"]) == ("refused, not run", reason)
    assert answer["detail"]
    assert starts == 0


def test_other_callers_cannot_see_the_job(play):
    headers = [IDENTITY, ("idempotency-key", GOOD_KEY)]
    path = f"/v1/jobs/{GOOD_KEY}"
    replies, starts = send_requests(
        play,
        ("POST", "/v1/jobs", headers, json.dumps(JOB).encode()),
        ("GET", path, [IDENTITY]),
        ("GET", path, [("x-brasstray-caller", "someone")]),
    )
    statuses = [status for status, _ in replies]
    assert statuses == [200, 200, 404]
    assert replies[0] == replies[1]
    assert replies[2][1]["reason"] == "unknown_key"
    assert starts == 1


def test_a_minted_key_can_be_used_once(play):
    async def scenario(system):
        app = CallerApp(system.leader())
        _, minted = await send_request(app, "POST", "/v1/keys", [IDENTITY])
        headers = [IDENTITY, ("idempotency-key", minted["key"])]
        body = json.dumps(JOB).encode()
        other = CallerApp(system.non_leader())
        replies = [
            await send_request(a, "POST", "/v1/jobs", headers, body)
            for a in (app, other)
        ]
        return replies, system.starts_of(minted["key"])

    replies, starts = play(scenario)
    assert replies[0] == replies[1]
    assert list(starts.values()) == [1]


@pytest.mark.parametrize(
    ("method", "path", "status"),
    [
        ("GET", "/health", 200),
        ("GET", "/v1/status", 200),
        ("GET", "/v1/table", 200),
        ("PUT", "/v1/table", 400),
        ("GET", "/v1/nothing", 404),
        ("PATCH", "/v1/jobs", 404),
    ],
)
def test_other_endpoints(play, method, path, status):
    [(actual_status, _)], _ = send_requests(play, (method, path, [IDENTITY]))
    assert actual_status == status
