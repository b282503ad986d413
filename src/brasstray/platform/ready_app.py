"""Serve the readiness check, by which the platform routes callers to this host."""

from __future__ import annotations

from typing import TYPE_CHECKING

from brasstray.http.exchange import json_response

if TYPE_CHECKING:
    from brasstray.host.pool_host import PoolHost
    from brasstray.http.exchange import Receive, Scope, Send


class ReadyApp:
    """Answer 200 while this host accepts jobs, and 503 otherwise."""

    def __init__(self, host: PoolHost) -> None:
        self._host = host

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one request."""
        del scope, receive
        response = json_response(200 if self._host.ready else 503, {})
        await response.send(send)


__all__ = ["ReadyApp"]
