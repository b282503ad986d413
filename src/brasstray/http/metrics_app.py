"""Serve metrics and the host's status to operators."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from brasstray.http.exchange import HttpResponse
from brasstray.metrics.prometheus_text import prometheus_text

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from opentelemetry.sdk.metrics.export import InMemoryMetricReader

    from brasstray.http.exchange import Receive, Scope, Send

CONTENT_TYPE = "text/plain; version=0.0.4"
STATUS_PATH = "/status"


class MetricsApp:
    """Serve the host's status as JSON at STATUS_PATH, and metrics at any other path.

    Metrics cover the time since the start, in the text format of Prometheus.
    """

    def __init__(
        self,
        reader: InMemoryMetricReader,
        status: Callable[[], Awaitable[msgspec.Struct]],
    ) -> None:
        self._reader = reader
        self._status = status

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one request."""
        del receive
        if scope["path"] == STATUS_PATH:
            state = msgspec.json.encode(await self._status())
            await HttpResponse(200, state + b"\n").send(send)
            return
        text = prometheus_text(self._reader.get_metrics_data())
        await HttpResponse(200, text.encode(), CONTENT_TYPE).send(send)


__all__ = ["STATUS_PATH", "MetricsApp"]
