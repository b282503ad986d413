"""Check what is logged and counted of learned values."""

from __future__ import annotations

from datetime import timedelta

from eliot import add_destinations, remove_destination
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.export import InMemoryMetricReader

from brasstray.host.event_log import EventLog
from brasstray.metrics.pool_metrics import PoolMetrics
from brasstray.metrics.prometheus_text import prometheus_text


def _lines_of(lines, event):
    return [line for line in lines if line.get("message_type") == f"brasstray:{event}"]


def test_values_are_logged_once_per_reason_and_counted_each_time():
    """Guard against a faulty host that fills the log of others."""
    reader = InMemoryMetricReader()
    log = EventLog(PoolMetrics(MeterProvider([reader]).get_meter("test")))
    lines = []
    add_destinations(lines.append)
    # The first destination is passed the lines of earlier tests as well.
    lines.clear()
    try:
        log.values_adopted("edge-1", 7, timedelta(seconds=3))
        for reason in ("m0: [-5000, 1, 0]", "m0: [-5000, 1, 0]", "replaced owner"):
            log.values_ignored("edge-2", 1, reason)
    finally:
        remove_destination(lines.append)
    [adopted] = _lines_of(lines, "values_adopted")
    ignored = _lines_of(lines, "values_ignored")
    assert (adopted["source"], adopted["values"]) == ("edge-1", 7)
    assert adopted["oldest_ms"] == 3_000
    assert [line["reason"] for line in ignored] == [
        "m0: [-5000, 1, 0]",
        "replaced owner",
    ]
    text = prometheus_text(reader.get_metrics_data())
    text = text.decode() if isinstance(text, bytes) else text
    assert 'brasstray_reasons_total{reason="values_adopted"} 1' in text
    assert 'brasstray_reasons_total{reason="values_ignored"} 3' in text
