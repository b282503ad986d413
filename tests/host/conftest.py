"""Run scenarios of hosts and leased minions on a virtual clock."""

from __future__ import annotations

import anyio
import pytest
from opentelemetry.metrics import NoOpMeterProvider
from tests.conftest import SCHEDULE_SEED, run_virtual

from brasstray.metrics.pool_metrics import PoolMetrics
from brasstray_standins.pool_system import PoolSystem, PoolSystemSize


@pytest.fixture
def play_pools():
    """Return a function that runs a scenario in a settled system, then stops it."""

    def run(scenario, size=None, seed=1, schedule=SCHEDULE_SEED):
        async def run_system():
            async with anyio.create_task_group() as group:
                metrics = PoolMetrics(NoOpMeterProvider().get_meter("test"))
                system = PoolSystem(group, metrics, size or PoolSystemSize(), seed)
                system.start_all()
                await system.settle()
                with anyio.fail_after(600):
                    result = await scenario(system)
                group.cancel_scope.cancel()
            return result, system

        return run_virtual(run_system, schedule)

    return run
