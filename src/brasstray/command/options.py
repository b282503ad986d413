"""Define the options that commands share, and run client calls."""

from __future__ import annotations

from typing import TYPE_CHECKING, Annotated, TypeVar

import anyio
import typer

from brasstray.client.client import Client
from brasstray.client.errors import ClientError
from brasstray.clock.loop import LoopClock
from brasstray.command.exit_status import ExitStatus
from brasstray.job.ids import CallerName

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

_T = TypeVar("_T")
DEFAULT_URL = "http://127.0.0.1:8080"
DEFAULT_CALLER = "operator"
Url = Annotated[
    str,
    typer.Option(
        envvar="BRASSTRAY_URL", help="URL of an entry host or of the load balancer."
    ),
]
Caller = Annotated[
    str,
    typer.Option(
        envvar="BRASSTRAY_CALLER", help="Caller name, as the balancer sends it."
    ),
]
Json = Annotated[bool, typer.Option("--json", help="Print JSON.")]


def run_client(url: str, caller: str, call: Callable[[Client], Awaitable[_T]]) -> _T:
    """Run `call` on a new client; exit with UNREACHABLE if no entry host answers."""

    async def run() -> _T:
        return await call(Client(url, CallerName(caller), LoopClock()))

    try:
        return anyio.run(run, backend="asyncio")
    except (ClientError, ValueError) as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(ExitStatus.UNREACHABLE) from error


__all__ = ["DEFAULT_CALLER", "DEFAULT_URL", "Caller", "Json", "Url", "run_client"]
