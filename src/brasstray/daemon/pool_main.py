"""Start the daemon of a host of the platform."""

from __future__ import annotations

import os
import sys
from pathlib import Path

import anyio
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.export import InMemoryMetricReader
from result import Err, Ok

from brasstray.daemon.pool_daemon import PoolDaemon
from brasstray.metrics.pool_metrics import PoolMetrics
from brasstray.settings.pool_settings import read_pool_settings

SETTINGS_VARIABLE = "BRASSTRAY_SETTINGS"
EXIT_INVALID_SETTINGS = 2
EXIT_CANNOT_LISTEN = 3


def main() -> int:
    """Serve until SIGTERM; return the exit status."""
    path = Path(os.environ.get(SETTINGS_VARIABLE, "/etc/brasstray/node.yaml"))
    match read_pool_settings(path):
        case Err(problems):
            for problem in problems:
                print(f"{path}: {problem}", file=sys.stderr)
            return EXIT_INVALID_SETTINGS
        case Ok(settings):
            reader = InMemoryMetricReader()
            provider = MeterProvider([reader])
            metrics = PoolMetrics(provider.get_meter(settings.host.name))
            daemon = PoolDaemon(path, settings, metrics, reader)
            try:
                anyio.run(daemon.run, backend="asyncio")
            except OSError as error:
                print(f"{path}: cannot listen: {error}", file=sys.stderr)
                return EXIT_CANNOT_LISTEN
    return 0


__all__ = ["main"]
