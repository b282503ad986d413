"""Hand a pool over while two of its minions leave a part of their calls unanswered."""

from __future__ import annotations

import asyncio
import random
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins.run import main, trouble  # noqa: E402
from standins.system import System, job_body, owner_of  # noqa: E402

ZONES = ["bkk-a", "bkk-b"]
ZONE = ZONES[0]
HOSTS_PER_ZONE, MINIONS_PER_ZONE = 3, 8
CALLERS_PER_HOST = 3
WORK_S = 1.2
DEADLINE_MS = 1_535
# Two minions of 16 for 6.6 s; of each 14 calls of an owner, these go unanswered.
GREY, GREY_S = 2, 6.6
UNANSWERED = (0, 2, 3, 4)
CALLS = 14
ROUNDS = 9


class Mute:
    """Leave four of each 14 calls of an owner unanswered."""

    def __init__(self):
        self._token = 0
        self._count = 0
        self._asked = 0
        self._muted = 0

    @property
    def share(self):
        """Return the share of the calls that stayed unanswered."""
        return self._muted / max(1, self._asked)

    def __call__(self, request):
        """Return whether this call stays unanswered."""
        token = request.json().get("FencingToken", 0)
        if token > self._token:
            self._token, self._count = token, 0
        number, self._count = self._count % CALLS, self._count + 1
        muted = number in UNANSWERED
        self._asked, self._muted = self._asked + 1, self._muted + muted
        return muted


async def send_jobs(system, host, stopped):
    """Send one job after the other to `host`, until `stopped` is set."""
    while not stopped.is_set():
        if host.process.poll() is None and host.name not in system.leaving:
            body = job_body(2, est_ms=round(1_000 * WORK_S))
            await system.submit(host, body, deadline_ms=DEADLINE_MS)
        await asyncio.sleep(random.uniform(0.2, 0.6))


async def stop_and_start(system, host):
    """Stop a host gracefully, and start it again."""
    system.leaving.add(host.name)
    system.record.add("sigterm", host=host.name)
    host.send(signal.SIGTERM)
    while host.process.poll() is None:
        await asyncio.sleep(0.02)
    system.record.add("ended", host=host.name, code=host.process.poll())
    host.start()
    await host.wait_ready()
    system.leaving.discard(host.name)


def find_overlaps(record):
    """Return the starts of tasks that had another run at that time."""
    active, breaks = {}, []
    for event in record.events:
        if event["kind"] == "start":
            runs = active.setdefault(event["task"], {})
            breaks += [
                f"TWICE: run {event['run']} of {event['task']} began on "
                f"{event['minion']} at {event['at']} beside run {run} on {minion}"
                for minion, run in runs
            ]
            runs[event["minion"], event["run"]] = event["at"]
        elif event["kind"] == "end":
            active.get(event["task"], {}).pop((event["minion"], event["run"]), None)
    return breaks


async def case():
    """Return the runs that began beside another run of their task."""
    born = round(1_000 * time.time())
    async with System(
        FOLDER,
        ZONES,
        HOSTS_PER_ZONE,
        MINIONS_PER_ZONE,
        lambda *_: (6_800, WORK_S),
        born=born,
    ) as system:
        system.leaving = set()
        await asyncio.sleep(4)
        stopped = asyncio.Event()
        callers = [
            asyncio.create_task(send_jobs(system, host, stopped))
            for host in system.hosts
            for _ in range(CALLERS_PER_HOST)
        ]
        grey = [m for m in system.minions if m.zone == ZONE][:GREY]
        for _ in range(ROUNDS):
            await asyncio.sleep(2.5)
            if trouble():
                system.record.add("grey", minions=[m.id for m in grey])
                for minion in grey:
                    minion.mute = Mute()
            end = system.record.now + GREY_S
            await stop_and_start(system, await owner_of(system, ZONE))
            await asyncio.sleep(max(0, end - system.record.now))
            shares = [round(m.mute.share, 3) for m in grey] if trouble() else []
            for minion in grey:
                minion.mute = lambda _: False
            system.record.add("well", minions=[m.id for m in grey], unanswered=shares)
            if find_overlaps(system.record):
                break
        stopped.set()
        await asyncio.gather(*callers)
        return find_overlaps(system.record)


main(case)
