"""Render metrics in the Prometheus text format.

The Prometheus exporter of OpenTelemetry brings its own registry and HTTP server, and
costs 3 MB of memory on each host. The format itself is one line for each value.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from opentelemetry.sdk.metrics.export import (
    Histogram,
    HistogramDataPoint,
    Metric,
    MetricsData,
    NumberDataPoint,
    Sum,
)

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping


def prometheus_text(data: MetricsData | None) -> str:
    """Render `data`: one line for each value, after the HELP and TYPE lines."""
    lines: list[str] = []
    for resource in data.resource_metrics if data else ():
        for scope in resource.scope_metrics:
            for metric in scope.metrics:
                lines.extend(_metric_lines(metric))
    return "\n".join(lines) + "\n"


def _metric_lines(metric: Metric) -> Iterator[str]:
    yield f"# HELP {metric.name} {metric.description}"
    match metric.data:
        case Histogram():
            kind, suffix = "histogram", ""
        case Sum():
            kind, suffix = "counter", "_total"
        case _:
            kind, suffix = "gauge", ""
    name = metric.name + suffix
    yield f"# TYPE {name} {kind}"
    for point in metric.data.data_points:
        match point:
            case HistogramDataPoint():
                yield from _histogram_lines(name, point)
            case NumberDataPoint():
                yield _value_line(name, point)


def _value_line(name: str, point: NumberDataPoint) -> str:
    return f"{name}{_labels(point.attributes or {})} {point.value}"


def _histogram_lines(name: str, point: HistogramDataPoint) -> Iterator[str]:
    labels = dict(point.attributes or {})
    cumulative = 0
    bounds = [str(bound) for bound in point.explicit_bounds]
    for bound, count in zip([*bounds, "+Inf"], point.bucket_counts, strict=True):
        cumulative += count
        yield f"{name}_bucket{_labels({**labels, 'le': bound})} {cumulative}"
    yield f"{name}_sum{_labels(labels)} {point.sum}"
    yield f"{name}_count{_labels(labels)} {point.count}"


def _labels(attributes: Mapping[str, object]) -> str:
    if not attributes:
        return ""
    pairs = (f'{key}="{_escape(str(value))}"' for key, value in attributes.items())
    return "{" + ",".join(pairs) + "}"


def _escape(text: str) -> str:
    return text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")


__all__ = ["prometheus_text"]
