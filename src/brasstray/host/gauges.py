"""Register gauges that read the state of a host at each scrape."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from brasstray.host.pool_host import PoolHost
    from brasstray.metrics.pool_metrics import PoolMetrics


def register_host_gauges(metrics: PoolMetrics, host: PoolHost) -> None:
    """Register the gauges of `host` in `metrics`."""

    def jobs() -> Mapping[str, float]:
        return {"active": host.coordinator.active_count}

    def pool() -> Mapping[str, float]:
        owner = host.owner
        if owner is None:
            return {"owned": 0}
        load = owner.load()
        return {
            "owned": 1,
            "token": owner.token,
            "free_slots": load.free_slots,
            "wait_ms": load.wait_ms,
            "runs": sum(len(minion.runs) for minion in owner.minions),
        }

    def minions() -> Mapping[str, float]:
        owner = host.owner
        return Counter(m.reach.value for m in owner.minions) if owner else {}

    def config() -> Mapping[str, float]:
        return {"version": host.config.version}

    metrics.add_gauge("brasstray_jobs", "jobs that callers wait for", jobs)
    metrics.add_gauge("brasstray_pool", "the pool, if this host owns it", pool)
    metrics.add_gauge("brasstray_minions", "minions of the pool, by reach", minions)
    metrics.add_gauge("brasstray_config", "the configuration in force", config)


__all__ = ["register_host_gauges"]
