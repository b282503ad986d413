"""Serve the callers' HTTP interface in the platform's format."""

from __future__ import annotations

import json
import math
import re
from datetime import timedelta
from typing import TYPE_CHECKING

import anyio

from brasstray.batch.ids import BatchId
from brasstray.batch.limits import MAX_TIMEOUT
from brasstray.batch.outcome import BatchOutcome, BatchResult, GiveUpReason
from brasstray.clock.bounded import bounded_ms
from brasstray.http.exchange import HttpResponse, header, json_response, read_body
from brasstray.platform.job_bodies import (
    UnreadableJobError,
    UnsupportedJobError,
    parse_job,
)

if TYPE_CHECKING:
    from brasstray.batch.queue import Queue
    from brasstray.host.pool_host import PoolHost
    from brasstray.http.exchange import Receive, Scope, Send

DEADLINE_HEADER = "x-deadline"
# The timeout that most callers use, assumed where a request does not state one.
DEFAULT_TIMEOUT = timedelta(milliseconds=1_500)
_JOB_ID = re.compile(r"[0-9a-f]{16}")
_CLOSE_CONNECTION = (("connection", "close"),)
_STATE_BY_OUTCOME = {BatchOutcome.SUCCEEDED: "succeeded", BatchOutcome.FAILED: "failed"}


class JobApp:
    """Serve the queues of the active configuration."""

    def __init__(self, host: PoolHost) -> None:
        self._host = host

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one request; send no response if the caller has disconnected."""
        response = await self._respond(scope, receive)
        if response is None:
            return
        if self._host.draining:
            # The next request on a connection that is kept alive would be lost when
            # this host stops.
            response = HttpResponse(
                response.status,
                response.body,
                response.content_type,
                (*response.headers, *_CLOSE_CONNECTION),
            )
        await response.send(send)

    async def _respond(self, scope: Scope, receive: Receive) -> HttpResponse | None:
        config = await self._host.wait_for_first_config()
        events = self._host.events
        job = scope["path"].rpartition("/")[2]
        if config is None:
            events.request_refused(job, GiveUpReason.NO_CONFIGURATION, "")
            return _refusal(GiveUpReason.NO_CONFIGURATION)
        host_name = (header(scope, "host") or "").partition(":")[0]
        queue = config.queue_for(host_name, scope["path"])
        body = await read_body(receive, config.limits.body_bytes)
        if queue is None:
            events.request_refused(job, GiveUpReason.NO_QUEUE, scope["path"])
            return json_response(404, {"Reason": "no such queue"})
        if body is None:
            limit = f"over {config.limits.body_bytes} bytes"
            events.request_refused(job, GiveUpReason.TOO_LARGE, limit)
            return json_response(413, {"Reason": "the body is too large"})
        rest = scope["path"][len(queue.prefix) :]
        match scope["method"], rest:
            case "GET", "":
                pending = self._host.coordinator.pending_count(queue.name)
                return json_response(200, {"Pending": pending})
            case "POST", _ if _JOB_ID.fullmatch(rest):
                return await self._submit(scope, receive, queue, rest, body)
            case "GET", _ if _JOB_ID.fullmatch(rest):
                if self._host.coordinator.is_active(BatchId(rest)):
                    return json_response(200, {"State": "running"})
                return json_response(410, {})
            case "DELETE", _ if _JOB_ID.fullmatch(rest):
                known = self._host.coordinator.cancel(BatchId(rest))
                return json_response(200 if known else 410, {})
        return json_response(
            400, {"Reason": "a job's id has 16 hexadecimal digits, in lower case"}
        )

    async def _submit(
        self, scope: Scope, receive: Receive, queue: Queue, job: str, body: bytes
    ) -> HttpResponse | None:
        try:
            batch = parse_job(job, body)
        except UnreadableJobError as error:
            self._host.events.request_refused(job, GiveUpReason.UNREADABLE, str(error))
            return json_response(400, {"Reason": str(error)})
        except UnsupportedJobError as error:
            self._host.events.request_refused(job, GiveUpReason.UNSUPPORTED, str(error))
            return json_response(503, {"Reason": str(error)})
        results: list[BatchResult] = []

        async def run(run_scope: anyio.CancelScope) -> None:
            found = await self._host.run_job(batch, queue, caller_timeout(scope))
            results.append(found)
            run_scope.cancel()

        async with anyio.create_task_group() as group:
            group.start_soon(run, group.cancel_scope)
            # A caller that disconnects needs no answer: stop the tasks of its job.
            while (await receive())["type"] != "http.disconnect":
                pass
            group.cancel_scope.cancel()
        return _answer(results[0]) if results else None


def caller_timeout(scope: Scope) -> timedelta:
    """Return how long the caller waits for its answer, as it states in a header."""
    text = header(scope, DEADLINE_HEADER)
    try:
        stated = float(text) if text else math.nan
    except ValueError:
        stated = math.nan
    if not math.isfinite(stated):
        return DEFAULT_TIMEOUT
    return min(max(timedelta(0), bounded_ms(stated)), MAX_TIMEOUT)


def _answer(result: BatchResult) -> HttpResponse:
    if result.outcome in _STATE_BY_OUTCOME:
        return json_response(200, {"State": _STATE_BY_OUTCOME[result.outcome]})
    if result.outcome is BatchOutcome.CANCELLED:
        return json_response(410, {})
    if result.outcome is BatchOutcome.NOT_RUN:
        assert result.reason is not None
        return _refusal(result.reason, result.retry_after)
    status = 504 if result.reason is GiveUpReason.TOO_LATE else 502
    reason = result.reason.value if result.reason else ""
    return json_response(status, {"Reason": reason})


def _refusal(
    reason: GiveUpReason, retry_after: timedelta | None = None
) -> HttpResponse:
    wait = retry_after or timedelta(seconds=1)
    seconds = max(1, math.ceil(wait.total_seconds()))
    return HttpResponse(
        503,
        json.dumps({"Reason": reason.value}).encode(),
        headers=(("retry-after", str(seconds)),),
    )


__all__ = ["DEFAULT_TIMEOUT", "JobApp", "caller_timeout"]
