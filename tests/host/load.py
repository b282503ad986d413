"""Submit jobs at a fixed interval during a test scenario."""

from __future__ import annotations

from datetime import timedelta

import anyio

from brasstray.batch.outcome import BatchOutcome
from brasstray_standins.pool_system import make_batch


class Load:
    """Submit jobs to the running hosts in turn, and collect the results."""

    def __init__(self, system, group, interval=timedelta(milliseconds=40), width=3):
        self._system = system
        self._group = group
        self._interval = interval
        self._width = width
        self.results = {}

    async def run(self, jobs):
        for number in range(jobs):
            names = sorted(self._system.hosts)
            name = names[number % len(names)]
            self._group.start_soon(self.submit, f"{number:016x}", name)
            await self._system.clock.sleep(self._interval)

    async def submit(self, job, name):
        running = self._system.hosts[name]
        began = self._system.clock.monotonic()
        result = await self._system.submit(name, make_batch(job, self._width))
        if self._system.hosts.get(name) is running:
            took = self._system.clock.monotonic() - began
            self.results[job] = (name, result, took)

    def outcomes(self):
        return [result.outcome for _, result, _ in self.results.values()]

    @property
    def succeeded(self):
        return self.outcomes().count(BatchOutcome.SUCCEEDED)


async def under_load(system, inject_fault, jobs=100, after=timedelta(seconds=1)):
    """Return a load of `jobs` in the middle of which `inject_fault` was called."""
    async with anyio.create_task_group() as group:
        load = Load(system, group)
        group.start_soon(load.run, jobs)
        await system.clock.sleep(after)
        await inject_fault()
    return load
