"""Let nobody read the hosts' logs, and end the day with a kill of all hosts."""

from __future__ import annotations

import asyncio
import random
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins.run import main, trouble  # noqa: E402
from standins.system import System, job_body  # noqa: E402

ZONES = ["utrecht-a", "utrecht-b", "amersfoort"]
WORK_S = 0.06
CALLERS_PER_HOST = 3
# With 60 ms of work, a host gets about 20 jobs a second.
MEAN_PAUSE_S = 0.06
BEFORE_STALL_S = 4
BEFORE_FAULT_S = 14
DOWN_S = 1.5
RECOVERY_S = 12
MEASURED_S = 5
QUARTER = 0.25


async def send_jobs(system, host, stopped):
    """Send one job after the other to `host`, until `stopped` is set."""
    while not stopped.is_set():
        await system.submit(host, job_body(2, est_ms=60))
        await asyncio.sleep(random.uniform(0, 2 * MEAN_PAUSE_S))


def share_served(system, since, until):
    """Return the share of the jobs sent in a span of time that succeeded."""
    sent = {e["job"] for e in system.record.of("sent") if since <= e["at"] < until}
    served = {e["job"] for e in system.record.of("answer") if e["status"] == 200}
    return len(sent & served) / len(sent)


async def case():
    """Return whether too little is served after the recovery."""
    async with System(
        FOLDER, ZONES, 2, 4, lambda *_: (6_800, WORK_S), piped=True
    ) as system:
        await asyncio.sleep(3)
        began = system.record.now
        stopped = asyncio.Event()
        callers = [
            asyncio.create_task(send_jobs(system, host, stopped))
            for host in system.hosts
            for _ in range(CALLERS_PER_HOST)
        ]
        await asyncio.sleep(BEFORE_STALL_S)
        if trouble():
            system.record.add("readers_stopped")
            for host in system.hosts:
                host.reader.send_signal(signal.SIGSTOP)
        await asyncio.sleep(BEFORE_FAULT_S)
        fault = system.record.now
        system.record.add("kill_all")
        for host in system.hosts:
            host.send(signal.SIGKILL)
        for host in system.hosts:
            host.process.wait()
        await asyncio.sleep(DOWN_S)
        for host in system.hosts:
            host.start()
        system.record.add("started_again")
        await asyncio.sleep(RECOVERY_S)
        recovered = system.record.now
        await asyncio.sleep(MEASURED_S)
        end = system.record.now
        stopped.set()
        await asyncio.gather(*callers)
    before = share_served(system, began, fault)
    after = share_served(system, recovered, end)
    print(f"served before the final fault {before:.2f}, after the recovery {after:.2f}")
    if before >= QUARTER > after:
        return [f"RECOVER: {after:.2f} of the jobs were served, {before:.2f} before"]
    return []


main(case)
