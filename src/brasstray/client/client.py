"""Submit jobs and fetch their answers over HTTP."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

import anyio
import httpcore
from pydantic import ValidationError

from brasstray.client.errors import ClientError, UnreachableError
from brasstray.http.caller_app import IDENTITY_HEADER, KEY_HEADER
from brasstray.job.answer import Answer
from brasstray.job.outcome import Outcome

if TYPE_CHECKING:
    from datetime import timedelta

    from brasstray.clock.clock import Clock
    from brasstray.job.ids import CallerName

_SECONDS_PER_MILLISECOND = 0.001
_DEFAULT_RETRY_MS = 500


class Client:
    """Call one entry host, or the load balancer in front of all of them."""

    def __init__(self, url: str, caller: CallerName, clock: Clock) -> None:
        self._url = url.rstrip("/")
        self._caller = caller
        self._clock = clock

    async def submit(self, body: bytes, key: str | None, wait: timedelta) -> Answer:
        """Submit the job in `body`; return what is known of its answer within `wait`.

        Raise UnreachableError if there was no answer; the job may still run.
        """
        headers = {} if key is None else {KEY_HEADER: key}
        target = f"/v1/jobs?wait_ms={_milliseconds(wait)}"
        return await self._request_answer("POST", target, wait, body, headers)

    async def fetch(self, key: str, wait: timedelta) -> Answer:
        """Return what is known within `wait` of a job submitted before."""
        target = f"/v1/jobs/{key}?wait_ms={_milliseconds(wait)}"
        return await self._request_answer("GET", target, wait)

    async def cancel(self, key: str, wait: timedelta) -> Answer:
        """Stop starting tasks of a job and return its answer."""
        return await self._request_answer("DELETE", f"/v1/jobs/{key}", wait)

    async def submit_until_final(
        self, body: bytes, key: str, timeout: timedelta
    ) -> Answer:
        """Repeat a submission with the same key until its answer is final.

        After `timeout`, return the last answer, or raise UnreachableError if there was
        none. Repeating is safe: the key prevents the job from running twice.
        """
        deadline = self._clock.monotonic() + timeout
        last_result: Answer | UnreachableError
        while True:
            remaining = deadline - self._clock.monotonic()
            pause_ms = _DEFAULT_RETRY_MS
            try:
                last_result = await self.submit(body, key, remaining)
                if last_result.outcome is not Outcome.NOT_YET_KNOWN:
                    return last_result
                pause_ms = last_result.retry_after_ms or pause_ms
            except UnreachableError as error:
                last_result = error
            if self._clock.monotonic() >= deadline:
                break
            await anyio.sleep(pause_ms * _SECONDS_PER_MILLISECOND)
        if isinstance(last_result, UnreachableError):
            raise last_result
        return last_result

    @property
    def caller(self) -> CallerName:
        """Return the caller's name."""
        return self._caller

    async def call_json(
        self, method: str, target: str, body: bytes = b""
    ) -> tuple[int, Any]:
        """Return the status and the decoded JSON body.

        Raise UnreachableError if there was no response or its body is not JSON.
        """
        response = await self._request(method, target, None, body, {})
        try:
            return response.status, json.loads(response.content)
        except ValueError as error:
            raise UnreachableError(
                f"{response.status}: response body is not JSON"
            ) from error

    async def mint_key(self) -> str:
        """Return a new key made by the entry host."""
        response = await self._request("POST", "/v1/keys", None, b"", {})
        key: str = json.loads(response.content)["key"]
        return key

    async def status(self) -> dict[str, Any]:
        """Return the status that the entry host reports."""
        response = await self._request("GET", "/v1/status", None, b"", {})
        try:
            page: dict[str, Any] = json.loads(response.content)
        except ValueError as error:
            raise ClientError("status page is not JSON") from error
        return page

    async def _request_answer(
        self,
        method: str,
        target: str,
        wait: timedelta,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
    ) -> Answer:
        response = await self._request(method, target, wait, body, headers or {})
        try:
            return Answer.model_validate_json(response.content)
        except ValidationError as error:
            text = response.content[:200].decode(errors="replace")
            raise UnreachableError(f"{response.status}: {text}") from error

    async def _request(
        self,
        method: str,
        target: str,
        wait: timedelta | None,
        body: bytes,
        headers: dict[str, str],
    ) -> httpcore.Response:
        timeout_seconds = 10.0 + (wait.total_seconds() if wait is not None else 0.0)
        request_headers: list[tuple[str | bytes, str | bytes]] = [
            ("host", "brasstray"),
            (IDENTITY_HEADER, self._caller),
            ("content-type", "application/json"),
            ("content-length", str(len(body))),
            *headers.items(),
        ]
        url = httpcore.URL(self._url + target)
        connection = httpcore.AsyncHTTPConnection(url.origin, retries=0)
        try:
            with anyio.fail_after(timeout_seconds):
                return await connection.request(
                    method, url, headers=request_headers, content=body
                )
        except (httpcore.NetworkError, httpcore.ProtocolError, TimeoutError) as error:
            raise UnreachableError(f"{method} {self._url}: {error!r}") from error
        finally:
            with anyio.CancelScope(shield=True):
                await connection.aclose()


def _milliseconds(wait: timedelta) -> int:
    return max(0, int(wait.total_seconds() * 1_000))


__all__ = ["Client"]
