"""Serve a stand-in minion over HTTP."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

import anyio

from brasstray.http.exchange import HttpResponse, json_response, read_body
from brasstray_standins.minion import MinionReply

if TYPE_CHECKING:
    from brasstray.http.exchange import Receive, Scope, Send
    from brasstray_standins.minion import StandInMinion

MAX_BODY_BYTES = 2_000_000


class MinionApp:
    """Handle start requests for one stand-in minion."""

    def __init__(self, minion: StandInMinion) -> None:
        self._minion = minion

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Handle one start request."""
        body = await read_body(receive, MAX_BODY_BYTES)
        try:
            request = json.loads(body or b"")
            task, payload = str(request["task"]), request["payload"]
        except (ValueError, KeyError, TypeError):
            await json_response(
                400, {"detail": "the body must hold a task and a payload"}
            ).send(send)
            return
        response = await self._run(task, payload)
        if response is None:
            # Cancelling the server along with the minion closes the connection.
            await anyio.sleep_forever()
        else:
            await response.send(send)

    async def _run(self, task: str, payload: object) -> HttpResponse | None:
        outcome = await self._minion.run(task, payload)  # type: ignore[arg-type]
        match outcome.reply:
            case MinionReply.DONE:
                return json_response(200, {"result": outcome.result})
            case MinionReply.FULL | MinionReply.LEAVING:
                headers = (("not-run", outcome.reply.value),)
                return json_response(503, {"detail": outcome.reply.value}, headers)
            case MinionReply.FAILED:
                return json_response(500, {"detail": "the task failed"})
        return None


__all__ = ["MinionApp"]
