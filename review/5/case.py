"""A job of many steps ends the process of each host that takes it in turn."""

from __future__ import annotations

import asyncio
from pathlib import Path

import world as w

# Within the limits of the pages: a Spec of up to 4,000 bytes, and a body of up to
# MaxBodyBytes, 262,144 bytes. This body has about 110,000.
STEPS = 4_000 if w.TROUBLE else 20
SPEC = "x" * 4_000
ROUNDS = 7
RESEND_S = 1.3
MAX_SENDS = 3


async def hand_in(world: w.World, job: str, first: w.Host) -> None:
    """Send a job until it is answered, each time to another host."""
    for step in range(STEPS):
        world.client.describe(job, step, 100, 0.05)
    steps = [{"Cpu": 100, "EstMs": 50}] * STEPS
    body = {"Spec": SPEC, "Steps": steps, "BestEffort": True}
    order = [first] + [host for host in world.hosts if host is not first]
    # The owner of the pool comes last: its own jobs need no connection to an owner.
    order.sort(key=lambda host: host.name == world.owner_of("utrecht-a"))
    for number in range(MAX_SENDS):
        host = order[number % len(order)]
        answer = await world.client.call(host, "POST", w.PREFIX + job, body)
        if answer is not None and answer[0] not in (502, 504):
            return
        await asyncio.sleep(RESEND_S)


async def ordinary(world: w.World) -> None:
    """Hand in ordinary jobs all the while, at each host in turn."""
    number = 0
    while True:
        host = world.hosts[number % len(world.hosts)]
        number += 1
        await world.client.submit(host, f"{number:016x}", 6_800, 0.2, 0.2, count=2)
        await asyncio.sleep(0.1)


def is_broken(world: w.World) -> bool:
    """Return whether two machines, over a tenth, had three ends of their own each."""
    return sum(host.own_ends >= 3 for host in world.hosts) >= 2


async def case(world: w.World) -> bool:
    """Hand the job in again and again, beside ordinary traffic."""
    world.zones = ["utrecht-a"]
    world.configure()
    for number in range(4):
        await world.add_minion(f"m-{number}", "utrecht-a")
    for number in range(1, 4):
        await world.add_host(
            f"edge-utrecht-a-{number}", "utrecht-a", f"127.0.5.{number}"
        )
    await world.all_ready()
    await world.until(lambda: world.owner_of("utrecht-a"), 10, "the pool has an owner")
    await asyncio.sleep(2)
    tasks = [asyncio.create_task(host.keep_running()) for host in world.hosts]
    tasks.append(asyncio.create_task(ordinary(world)))
    for number in range(ROUNDS):
        await world.all_ready()
        if is_broken(world):
            break
        owner = world.owner_of("utrecht-a")
        first = next(host for host in world.hosts if host.name != owner)
        await hand_in(world, f"{number:016x}"[::-1], first)
        await asyncio.sleep(2)
    for task in tasks:
        task.cancel()
    ends = [host.own_ends for host in world.hosts]
    world.record(f"processes that ended by themselves: {ends}")
    return is_broken(world)


w.run_case(case, Path(__file__).parent)
