"""Show the status of a platform host."""

from __future__ import annotations

from typing import TYPE_CHECKING, Annotated

import httpcore
import msgspec
import typer

from brasstray.command.exit_status import ExitStatus
from brasstray.command.options import Json
from brasstray.host.host_status import HostStatus
from brasstray.http.metrics_app import STATUS_PATH

if TYPE_CHECKING:
    from brasstray.host.host_status import EvacuationStatus, OwnedPoolStatus

# A healthy host answers within milliseconds.
TIMEOUT_SECONDS = 5.0

_REACH = {True: "in reach", False: "out of reach", None: "not asked"}


def host(
    url: Annotated[
        str, typer.Argument(help="The host's metrics address, as http://IP:PORT.")
    ],
    as_json: Json = False,
) -> None:
    """Print a host's role, fencing token, minions, peers and versions."""
    status = _fetch(url.rstrip("/") + STATUS_PATH)
    typer.echo(
        msgspec.json.encode(status).decode() if as_json else _format_text(status)
    )


def _fetch(url: str) -> HostStatus:
    timeout = dict.fromkeys(("connect", "read", "write", "pool"), TIMEOUT_SECONDS)
    try:
        response = httpcore.request("GET", url, extensions={"timeout": timeout})
        return msgspec.json.decode(response.content, type=HostStatus)
    except (
        httpcore.NetworkError,
        httpcore.ProtocolError,
        httpcore.TimeoutException,
    ) as error:
        typer.echo(f"{url}: unreachable: {error!r}", err=True)
    except msgspec.MsgspecError:
        typer.echo(f"{url}: the response is not a host status", err=True)
    raise typer.Exit(ExitStatus.UNREACHABLE)


def _format_text(status: HostStatus) -> str:
    role = "owner and coordinator" if status.owned else "coordinator"
    lines = [
        f"{status.incarnation}: {status.state}, {role}",
        f"  configuration: version {status.config_version}",
        f"  evacuated: {_evacuation_text(status.evacuations)}",
        f"  active jobs: {status.jobs}",
    ]
    if status.owned is not None:
        lines += _pool_lines(status.owned)
    for owner in status.owners:
        reach = _REACH[owner.in_reach]
        lines.append(f"  {owner.pool}: {owner.host}, token {owner.token}, {reach}")
    lines.append(f"  requested by: {', '.join(status.requesters) or 'nobody'}")
    return "\n".join(lines)


def _evacuation_text(status: EvacuationStatus) -> str:
    if not status.as_of:
        return "not known"
    centres = ", ".join(status.data_centres) or "none"
    heard = f"{status.heard_ms_ago / 1_000:.1f} s ago"
    return f"{centres}; version {status.as_of} from {status.source}, {heard}"


def _pool_lines(owned: OwnedPoolStatus) -> list[str]:
    recovered = "" if owned.recovered else ", not recovered"
    confirmed = f"confirmed {owned.confirmed_ms_ago / 1_000:.1f} s ago"
    lines = [
        f"  owns {owned.pool} under token {owned.token}, {confirmed}{recovered}",
        f"  free slots {owned.free_slots}, wait {owned.wait_ms} ms",
    ]
    for minion in owned.minions:
        flags = [minion.reach]
        flags += ["draining"] * minion.draining + ["suspected"] * minion.suspected
        free = f"{minion.free_cpu_millis / 1_000:.1f} cores, {minion.free_memory_mb} MB"
        state = ", ".join(flags)
        lines.append(f"  minion {minion.id}: {state}, {minion.runs} runs, free {free}")
    return lines


__all__ = ["host"]
