"""Run the stand-in platform and minions in one process for entry daemons to use."""

from __future__ import annotations

from functools import partial
from typing import Annotated

import anyio
import typer

from brasstray.clock.loop import LoopClock
from brasstray.http.server import HttpServer, listen
from brasstray.job.ids import DataCentreName, ServiceName
from brasstray.store.host_kind import HostKind
from brasstray.store.listed_host import ListedHost
from brasstray_standins.memory_platform import MemoryPlatform
from brasstray_standins.minion import StandInMinion
from brasstray_standins.minion_app import MinionApp
from brasstray_standins.platform_app import PlatformApp

ADDRESS = "127.0.0.1"
SERVICES = ("verlofdienst", "echantillon", "herrekening")


async def _serve(platform_port: int, minions: int, entries: list[str]) -> None:
    clock = LoopClock()
    platform = MemoryPlatform(clock)
    listed = [_listed_entry_host(text, number) for number, text in enumerate(entries)]
    centres = sorted({host.data_centre for host in listed})
    started: list[StandInMinion] = []
    async with anyio.create_task_group() as group:
        for number in range(minions * len(centres)):
            minion = StandInMinion(f"minion-{number}", clock)
            started.append(minion)
            listener = listen(ADDRESS, 0)
            group.start_soon(HttpServer(MinionApp(minion)).run, listener)
            listed.extend(
                ListedHost(
                    name=minion.name,
                    kind=HostKind.MINION,
                    data_centre=centres[number % len(centres)],
                    address=ADDRESS,
                    port=listener.getsockname()[1],
                    service=ServiceName(service),
                )
                for service in SERVICES
            )
        platform.list_hosts(listed)
        app = PlatformApp(platform, started)
        group.start_soon(HttpServer(app).run, listen(ADDRESS, platform_port))
        typer.echo(f"platform at {ADDRESS}:{platform_port}, {len(started)} minions")


def _listed_entry_host(text: str, number: int) -> ListedHost:
    centre, _, port = text.rpartition(":")
    return ListedHost(
        name=f"entry-{number}",
        kind=HostKind.ENTRY,
        data_centre=DataCentreName(centre or "utrecht-a"),
        address=ADDRESS,
        port=int(port),
    )


def run(
    platform: Annotated[
        int, typer.Option(help="The port on which to serve the platform.")
    ] = 7000,
    minions: Annotated[int, typer.Option(help="Minions per data centre.")] = 4,
    entry: Annotated[
        list[str],
        typer.Option(
            help="The peer port of an entry host, as PORT or DATA-CENTRE:PORT."
        ),
    ] = ["9080"],  # noqa: B006 -- typer copies the list
) -> None:
    """Serve the platform, its host list and the minions until interrupted."""
    anyio.run(partial(_serve, platform, minions, entry), backend="asyncio")


if __name__ == "__main__":
    typer.run(run)
