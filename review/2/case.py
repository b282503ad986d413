"""Send one job that can never be done, and count the hosts that end by themselves."""

from __future__ import annotations

import asyncio
import secrets
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins.run import main, trouble  # noqa: E402
from standins.system import RESEND_S, System, job_body  # noqa: E402

ZONES = ["utrecht-a", "utrecht-b", "amersfoort"]
# One message in 20 of one class, within 3 s.
MESSAGES = 20
POISON_S = 3.0
# The largest signed 64-bit number: no minion has as much.
POISON_CPU = 2**63 - 1
USUAL_CPU = 6_800
WORK_S = 0.9
WATCH_S = 60
RESTART_S = 1.0
# The day counts 0 if processes end by themselves three times on this many machines.
ENDS, MACHINES = 3, 2


async def restart_ended(system, ends):
    """Start each host again that has ended, as the platform does."""
    while True:
        for host in list(system.hosts):
            code = host.process.poll()
            if code is None:
                continue
            system.hosts.remove(host)
            ends[host.name] = ends.get(host.name, 0) + 1
            error = host.last_error()
            system.record.add("ended", host=host.name, code=code, error=error)
            asyncio.create_task(start_later(system, host))
        await asyncio.sleep(0.05)


async def start_later(system, host):
    """Start the host `host` again, with its settings of before."""
    await asyncio.sleep(RESTART_S)
    system.restart_host(host)


async def send_until_answered(system, turn, body):
    """Send a job until it is answered with its end or rejected, as a client does."""
    job = secrets.token_hex(8)
    while True:
        hosts = list(system.hosts)
        if hosts:
            status = await system.submit(hosts[turn % len(hosts)], body, job)
            if status not in (None, 502, 504):
                return
        turn += 1
        await asyncio.sleep(RESEND_S)


def ended_too_often(ends):
    """Return the hosts that ended three times or more, if there are two at least."""
    often = [name for name, count in ends.items() if count >= ENDS]
    return often if len(often) >= MACHINES else []


async def case():
    """Return the hosts that ended by themselves three times or more."""
    ends = {}
    async with System(FOLDER, ZONES, 2, 4, lambda *_: (USUAL_CPU, WORK_S)) as system:
        await asyncio.sleep(2)
        watcher = asyncio.create_task(restart_ended(system, ends))
        senders = []
        for turn in range(MESSAGES):
            poison = trouble() and turn == MESSAGES // 2
            body = job_body(4, cpu=POISON_CPU if poison else USUAL_CPU)
            sender = send_until_answered(system, turn, body)
            senders.append(asyncio.create_task(sender))
            await asyncio.sleep(POISON_S / MESSAGES)
        deadline = system.record.now + WATCH_S
        while system.record.now < deadline and not ended_too_often(ends):
            if all(sender.done() for sender in senders):
                break
            await asyncio.sleep(0.1)
        for task in (watcher, *senders):
            task.cancel()
        for name, count in sorted(ends.items()):
            print(f"{name} ended by itself {count} times")
    often = ended_too_often(ends)
    return [f"Fault: {name} ended by itself {ends[name]} times" for name in often]


main(case)
