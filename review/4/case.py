"""A host that was frozen starts a task that its caller has sent elsewhere since."""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path

import world as w

FREEZE_S = 3.0
RESEND_S = 1.3
ROUNDS = 14
CPU = 10_000


async def play(world: w.World, number: int) -> None:
    """Freeze a host while its minion rests after an answer of 503."""
    frozen, other = world.hosts
    client = world.client
    rests = world.minions[0]
    ids = [f"{number:08x}{kind:08x}" for kind in range(4)]
    # Both pools serve a job of four tasks.
    await asyncio.gather(
        client.submit(frozen, ids[0], CPU // 4, 0.2, 0.2, 4),
        client.submit(other, ids[1], CPU // 4, 0.2, 0.2, 4),
    )
    # The minion of the other pool is at work, so the task waits in its own pool.
    long_job = client.submit(other, ids[2], CPU, 1.9, 1.9, deadline_ms=4_000)
    busy = asyncio.create_task(long_job)
    await asyncio.sleep(0.3)
    rests.sheds = 1
    first = asyncio.create_task(client.submit(frozen, ids[3], CPU, 1.3, 0.6))
    await asyncio.sleep(0.3)
    if w.TROUBLE:
        frozen.signal(signal.SIGSTOP)
        asyncio.get_running_loop().call_later(FREEZE_S, frozen.signal, signal.SIGCONT)
    if await first is None:
        # The client sends the job again to another host.
        await asyncio.sleep(RESEND_S)
        await client.submit(other, ids[3], CPU, 1.3, 0.6)
    await busy
    await asyncio.sleep(1.5)


async def case(world: w.World) -> bool:
    """Play rounds until a task runs twice at once."""
    world.zones = ["amersfoort", "utrecht-a"]
    world.configure()
    for zone in world.zones:
        await world.add_minion(f"m-{zone}", zone)
    for number, zone in enumerate(world.zones, start=1):
        await world.add_host(f"edge-{zone}-1", zone, f"127.0.4.{number}")
    await world.all_ready()
    for zone in world.zones:
        await world.until(lambda z=zone: world.owner_of(z), 10, "pools have owners")
    await asyncio.sleep(2)
    for number in range(1, ROUNDS + 1):
        await world.all_ready()
        world.record(f"round {number}")
        await play(world, number)
        if world.recorder.at_once:
            break
    world.record(f"two runs at once: {world.recorder.at_once}")
    return bool(world.recorder.at_once)


w.run_case(case, Path(__file__).parent)
