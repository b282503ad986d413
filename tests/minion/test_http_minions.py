"""Check the outcome of a start over HTTP for each behaviour of the minion."""

from __future__ import annotations

from datetime import timedelta

import anyio
import pytest

from brasstray.http.server import listen
from brasstray.job.ids import CallerName, DataCentreName, KeyText
from brasstray.job.job_id import JobId
from brasstray.job.request import TaskRequest
from brasstray.minion.errors import (
    MinionError,
    RetryReason,
    TaskMayHaveRunError,
    TaskNotRunError,
)
from brasstray.minion.http import HttpMinions
from brasstray.minion.task_id import TaskId
from brasstray.store.host_kind import HostKind
from brasstray.store.listed_host import ListedHost

TASK = TaskId(JobId(caller=CallerName("c"), key=KeyText("k")), 0)
DONE = b'HTTP/1.1 200 OK\r\ncontent-length: 13\r\n\r\n{"result": 7}'
SHORT_TIMEOUT, LONG_TIMEOUT = timedelta(seconds=0.2), timedelta(seconds=30)


def reply(status, headers=""):
    return f"HTTP/1.1 {status} X\r\n{headers}content-length: 2\r\n\r\n{{}}".encode()


class RawMinion:
    """Send the given answers, one per request: b"" closes, None never replies."""

    def __init__(self, answers):
        self.requests = 0
        self._answers = list(answers)
        self._listener = listen("127.0.0.1", 0)
        self.listed = ListedHost(
            name="m",
            kind=HostKind.MINION,
            data_centre=DataCentreName("dc"),
            address="127.0.0.1",
            port=self._listener.getsockname()[1],
        )

    async def run(self):
        listener = await anyio.abc.SocketListener.from_socket(self._listener)
        await listener.serve(self._serve)

    async def _serve(self, stream):
        async with stream:
            while self._answers:
                data = b""
                while b'"payload"' not in data or not data.endswith(b"}"):
                    data += await stream.receive()
                self.requests += 1
                answer = self._answers.pop(0)
                if answer is None:
                    await anyio.sleep_forever()
                if answer == b"":
                    return
                await stream.send(answer)


def start_tasks(answers, count=1):
    async def scenario():
        minion, minions, outcomes = RawMinion(answers), HttpMinions(), []
        timeout = SHORT_TIMEOUT if None in answers else LONG_TIMEOUT
        async with anyio.create_task_group() as group:
            group.start_soon(minion.run)
            for _ in range(count):
                try:
                    task = TaskRequest(payload=1)
                    outcomes.append(
                        await minions.start(minion.listed, TASK, task, timeout)
                    )
                except MinionError as error:
                    outcomes.append((type(error), error.reason))
            group.cancel_scope.cancel()
        with anyio.CancelScope(shield=True):
            await minions.aclose()
        return outcomes, minion.requests

    return anyio.run(scenario)


@pytest.mark.parametrize(
    ("answer", "expected"),
    [
        (DONE, 7),
        (reply(503, "not-run: full\r\n"), (TaskNotRunError, RetryReason.FULL)),
        (reply(503, "not-run: leaving\r\n"), (TaskNotRunError, RetryReason.LEAVING)),
        (reply(503), (TaskMayHaveRunError, RetryReason.TASK_FAILED)),
        (reply(500), (TaskMayHaveRunError, RetryReason.TASK_FAILED)),
        (reply(200), (TaskMayHaveRunError, RetryReason.TASK_FAILED)),
        (b"nonsense\r\n\r\n", (TaskMayHaveRunError, RetryReason.CONNECTION_LOST)),
        (b"", (TaskMayHaveRunError, RetryReason.CONNECTION_LOST)),
        (None, (TaskMayHaveRunError, RetryReason.SILENT)),
    ],
)
def test_only_a_refusal_counts_as_not_run(answer, expected):
    outcomes, requests = start_tasks([answer])
    assert outcomes == [expected]
    assert requests == 1


def test_a_request_is_not_resent_after_a_reset():
    """An HTTP client must not resend a request after a reset on a reused connection.

    The minion may have run the task before its reply was lost. A leave deduction sent
    again on a new connection would be made twice.
    """
    outcomes, requests = start_tasks([DONE, b"", DONE], count=2)
    assert outcomes == [7, (TaskMayHaveRunError, RetryReason.CONNECTION_LOST)]
    assert requests == 2


def test_a_refused_connection_is_not_run():
    async def scenario():
        listener = listen("127.0.0.1", 0)
        port = listener.getsockname()[1]
        listener.close()
        listed = RawMinion([]).listed.model_copy(update={"port": port})
        with pytest.raises(TaskNotRunError) as caught:
            await HttpMinions().start(
                listed, TASK, TaskRequest(payload=1), LONG_TIMEOUT
            )
        assert caught.value.reason is RetryReason.CONNECTION_REFUSED

    anyio.run(scenario)


def test_connections_are_reused():
    outcomes, requests = start_tasks([DONE] * 5, count=5)
    assert outcomes == [7] * 5
    assert requests == 5
