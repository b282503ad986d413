"""Check the Prometheus text output of metrics."""

from __future__ import annotations

from datetime import timedelta

from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.export import InMemoryMetricReader

from brasstray.batch.outcome import BatchOutcome, BatchResult, GiveUpReason
from brasstray.metrics.pool_metrics import PoolMetrics
from brasstray.metrics.prometheus_text import prometheus_text


def test_counters_gauges_and_histograms_have_a_line_a_value():
    reader = InMemoryMetricReader()
    metrics = PoolMetrics(MeterProvider([reader]).get_meter("h"))
    metrics.add_gauge("brasstray_pool", "a pool", lambda: {"places": 4})
    result = BatchResult(BatchOutcome.NOT_RUN, GiveUpReason.OVERLOADED)
    second = timedelta(seconds=1)
    metrics.count_answer(result, 2 * second, second)
    metrics.count_answer(result, second / 2, second)
    metrics.count_retry('odd "name"')
    text = prometheus_text(reader.get_metrics_data()).splitlines()
    assert 'brasstray_answers_total{outcome="not_run"} 2' in text
    assert 'brasstray_reasons_total{reason="overloaded"} 2' in text
    assert 'brasstray_retries_total{reason="odd \\"name\\""} 1' in text
    assert 'brasstray_latency_ratio_bucket{le="0.5"} 1' in text
    assert 'brasstray_latency_ratio_bucket{le="2.0"} 2' in text
    assert 'brasstray_latency_ratio_bucket{le="+Inf"} 2' in text
    assert "brasstray_latency_ratio_count 2" in text
    assert 'brasstray_pool{of="places"} 4' in text


def test_nothing_measured_is_no_error():
    assert prometheus_text(None) == "\n"
