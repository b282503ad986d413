"""Provide the virtual clock and the in-memory system for the tests."""

from __future__ import annotations

import os
from collections.abc import Awaitable, Callable
from typing import Any

import anyio
import measure.virtual
import pytest

from brasstray.entry.timing import EntryTiming
from brasstray_standins.memory_system import MemorySystem, SystemSize

Scenario = Callable[[MemorySystem], Awaitable[Any]]


# The longest tests, model checks and random streams, run first: started last, each
# would extend a parallel run while the other workers are idle.
LONGEST_FIRST = (
    "tests/spec/test_pool_protocol.py",
    "tests/host/test_random_streams.py",
    "tests/spec/",
    "tests/failures/",
    "tests/entry/",
)
# Tests with real processes and time limits share one worker, so that they do not
# compete for the CPU.
REAL_PROCESSES = ("tests/daemon/", "tests/platform/test_end_to_end.py")


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Order and group the tests for a parallel run."""
    for item in items:
        if item.nodeid.startswith(REAL_PROCESSES):
            item.add_marker(pytest.mark.xdist_group("real processes"))
    items.sort(key=_priority)


def _priority(item: pytest.Item) -> int:
    for priority, prefix in enumerate(LONGEST_FIRST):
        if item.nodeid.startswith(prefix):
            return priority
    return len(LONGEST_FIRST)


# Seeds the order of concurrent events in every scenario; tests must pass with any seed.
SCHEDULE_SEED = int(os.environ.get("SCHEDULE_SEED", "1"))


def run_virtual(
    scenario: Callable[[], Awaitable[Any]], schedule: int = SCHEDULE_SEED
) -> Any:
    """Run `scenario` on a virtual clock that jumps whenever all tasks sleep."""
    return measure.virtual.run_virtual(schedule, scenario)


@pytest.fixture
def play() -> Callable[..., Any]:
    """Return a function that runs a scenario in a new system with elected leaders."""

    def run(
        scenario: Scenario,
        size: SystemSize | None = None,
        seed: int = 1,
        timing: EntryTiming | None = None,
    ) -> Any:
        async def run_system() -> Any:
            async with anyio.create_task_group() as group:
                system = MemorySystem(group, size, seed, timing)
                system.start_all()
                await system.settle()
                result = await scenario(system)
                system.end()
                group.cancel_scope.cancel()
            return result

        return run_virtual(run_system)

    return run
