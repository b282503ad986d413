"""Serve the HTTP interface for callers and operators of an entry host."""

from __future__ import annotations

import re
from datetime import timedelta
from typing import TYPE_CHECKING
from urllib.parse import unquote

from pydantic import ValidationError

from brasstray.http.exchange import (
    HttpResponse,
    header,
    json_response,
    query,
    read_body,
)
from brasstray.http.status_page import status_page
from brasstray.http.table_endpoints import TableEndpoints
from brasstray.job.answer import Answer, refused_answer
from brasstray.job.ids import CallerName
from brasstray.job.outcome import Outcome
from brasstray.job.reason import Reason
from brasstray.job.request import MAX_DEADLINE, JobRequest, format_validation_errors

if TYPE_CHECKING:
    from brasstray.entry.entry_host import EntryHost
    from brasstray.http.exchange import Receive, Scope, Send

IDENTITY_HEADER = "x-brasstray-caller"
KEY_HEADER = "idempotency-key"
MAX_BODY_BYTES = 16 * 1024 * 1024
DEFAULT_WAIT = timedelta(seconds=60)
_CALLER_PATTERN = re.compile(r"[A-Za-z0-9._@-]{1,128}")
_MILLISECOND = timedelta(milliseconds=1)
_REFUSAL_STATUS = {
    Reason.DRAINING: 503,
    Reason.IDENTITY_MISSING: 401,
    Reason.KEY_CONFLICT: 409,
    Reason.OVERLOADED: 429,
    Reason.SERVICE_CLOSED: 403,
    Reason.STARTING: 503,
    Reason.TOO_LARGE: 413,
}


class CallerApp:
    """Serve jobs, keys, the table, status and health."""

    def __init__(self, host: EntryHost) -> None:
        self._host = host
        self._tables = TableEndpoints(host.tables)

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one request."""
        response = await self._respond(scope, receive)
        await response.send(send)

    async def _respond(self, scope: Scope, receive: Receive) -> HttpResponse:
        method, path = scope["method"], unquote(scope["path"])
        if path == "/health":
            draining = self._host.draining
            state = "draining" if draining else "serving"
            return json_response(503 if draining else 200, {"state": state})
        if path == "/v1/status" and method == "GET":
            return json_response(200, status_page(self._host))
        body = await read_body(receive, MAX_BODY_BYTES)
        if body is None:
            detail = f"a body has at most {MAX_BODY_BYTES} bytes"
            return self._to_response(refused_answer(None, Reason.TOO_LARGE, detail))
        caller = header(scope, IDENTITY_HEADER)
        if caller is None or not _CALLER_PATTERN.fullmatch(caller):
            detail = (
                f"{IDENTITY_HEADER} must name the caller, as {_CALLER_PATTERN.pattern}"
            )
            return self._to_response(
                refused_answer(None, Reason.IDENTITY_MISSING, detail)
            )
        match method, path.removeprefix("/v1/").split("/"):
            case _, ["table", *rest]:
                return await self._tables.respond(method, "/".join(rest), body)
            case "POST", ["keys"]:
                return json_response(200, {"key": self._host.jobs.mint().text()})
            case "POST", ["jobs"]:
                answer = await self._submit(scope, CallerName(caller), body)
            case "GET", ["jobs", key]:
                wait = _wait_parameter(scope, timedelta(0))
                answer = await self._host.jobs.fetch(CallerName(caller), key, wait)
            case "DELETE", ["jobs", key]:
                answer = await self._host.jobs.cancel(CallerName(caller), key)
            case _:
                detail = f"{method} {path} is not served; see POST /v1/jobs"
                return json_response(404, {"detail": detail})
        return self._to_response(answer)

    async def _submit(self, scope: Scope, caller: CallerName, body: bytes) -> Answer:
        try:
            request = JobRequest.model_validate_json(body)
        except ValidationError as error:
            return refused_answer(
                None, Reason.BAD_REQUEST, format_validation_errors(error.errors())
            )
        key, wait = header(scope, KEY_HEADER), _wait_parameter(scope, DEFAULT_WAIT)
        return await self._host.jobs.submit(caller, key, request, wait)

    def _to_response(self, answer: Answer) -> HttpResponse:
        self._host.metrics.count_answer(answer.outcome, answer.reason)
        headers = []
        if answer.retry_after_ms is not None:
            seconds = max(1, round(answer.retry_after_ms / 1_000))
            headers.append(("retry-after", str(seconds)))
        return HttpResponse(
            _http_status(answer),
            answer.model_dump_json(exclude_none=True).encode() + b"\n",
            headers=tuple(headers),
        )


def _http_status(answer: Answer) -> int:
    match answer.outcome:
        case Outcome.COMPLETE | Outcome.FAILED:
            return 200
        case Outcome.NOT_YET_KNOWN:
            return 404 if answer.reason is Reason.UNKNOWN_KEY else 202
        case Outcome.REFUSED:
            return _REFUSAL_STATUS.get(answer.reason or Reason.BAD_REQUEST, 400)


def _wait_parameter(scope: Scope, default: timedelta) -> timedelta:
    text = query(scope, "wait_ms")
    if text is None or not text.isdecimal():
        return default
    return min(int(text[:9]) * _MILLISECOND, MAX_DEADLINE)


__all__ = ["IDENTITY_HEADER", "KEY_HEADER", "CallerApp"]
