"""Serve counters, gauges and histograms in the text format of Prometheus."""

from __future__ import annotations

from typing import TYPE_CHECKING

from brasstray.http.exchange import HttpResponse
from brasstray.metrics.prometheus_text import prometheus_text

if TYPE_CHECKING:
    from opentelemetry.sdk.metrics.export import InMemoryMetricReader

    from brasstray.http.exchange import Receive, Scope, Send

CONTENT_TYPE = "text/plain; version=0.0.4"


class MetricsApp:
    """Answer each request with all that was measured since the start."""

    def __init__(self, reader: InMemoryMetricReader) -> None:
        self._reader = reader

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one request."""
        del scope, receive
        text = prometheus_text(self._reader.get_metrics_data())
        await HttpResponse(200, text.encode(), CONTENT_TYPE).send(send)


__all__ = ["MetricsApp"]
