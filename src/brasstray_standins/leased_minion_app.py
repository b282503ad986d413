"""Serve a leased minion over the HTTP API of the users' platform."""

from __future__ import annotations

import json
from dataclasses import replace
from datetime import timedelta
from typing import TYPE_CHECKING, Any

from brasstray.batch.ids import BatchId, FencingToken, RunNumber
from brasstray.batch.task_name import TaskName
from brasstray.http.exchange import HttpResponse, header, json_response, read_body
from brasstray.job.ids import MinionId
from brasstray.pool.errors import (
    FencedError,
    MinionGoneError,
    StartRefusal,
    StartRefusedError,
)
from brasstray.pool.probe_reply import RunEnd

if TYPE_CHECKING:
    from brasstray.http.exchange import Receive, Scope, Send
    from brasstray_standins.leased_minion import LeasedMinion

MAX_BODY_BYTES = 1 << 20
_REASONS = {StartRefusal.STALE_RUN: "old", StartRefusal.LEASE_PASSED: "late"}


class LeasedMinionApp:
    """Serve the start, stop and hold calls of one minion."""

    def __init__(self, minion: LeasedMinion) -> None:
        self._minion = minion

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one request."""
        body = json.loads(await read_body(receive, MAX_BODY_BYTES) or b"{}")
        target = MinionId(header(scope, "x-target-instance") or "")
        try:
            response = await self._respond(scope["path"], target, body)
        except MinionGoneError:
            response = json_response(421, {})
        except FencedError:
            response = self._refusal("fence")
        except StartRefusedError as error:
            response = self._refusal(_REASONS[error.refusal])
        await response.send(send)

    def _refusal(self, reason: str) -> HttpResponse:
        body = {"ClockMs": self._minion.clock_ms, "Reason": reason}
        return json_response(409, body)

    async def _respond(
        self, path: str, target: MinionId, body: dict[str, Any]
    ) -> HttpResponse:
        minion = self._minion
        entry = replace(minion.entry, id=target)
        token = FencingToken(body["FencingToken"])
        if path == "/-/hold":
            reply = await minion.hold(
                entry,
                token,
                body.get("LastSeen", 0),
                body.get("UntilMs"),
                timedelta(milliseconds=body.get("WaitMs", 0)),
            )
            running = [
                [_format_task(r.task), r.run, "", r.percent, 6_800]
                for r in reply.active
            ]
            finished = [
                [e.number, _format_task(e.task), e.run, _format_end(e.end), ""]
                for e in reply.ended
            ]
            content = {
                "ClockMs": reply.clock_ms,
                "Running": running,
                "Finished": finished,
            }
            if reply.born is not None:
                content["born"] = reply.born
            return json_response(200, content)
        batch, _, step, index = body["Task"].split(".")
        task = TaskName(BatchId(batch), int(step), int(index))
        run = RunNumber(body["Run"])
        if path == "/-/run-start":
            clock_ms = minion.start(entry, token, task, run, body["UntilMs"])
            return json_response(200, {"ClockMs": clock_ms})
        minion.stop(entry, token, task, run)
        return json_response(200, {"ClockMs": minion.clock_ms})


def _format_end(end: RunEnd) -> str:
    return "lapsed" if end is RunEnd.EXPIRED else end.value


def _format_task(task: TaskName) -> str:
    return f"{task.batch}.0.{task.step}.{task.index}"


__all__ = ["LeasedMinionApp"]
