"""Define the command line for callers and operators."""

from __future__ import annotations

import json
import logging
import sys
from datetime import timedelta
from functools import partial
from pathlib import Path
from typing import TYPE_CHECKING, Annotated

import anyio
import typer

from brasstray.command.exit_status import ExitStatus, exit_status_for
from brasstray.command.host import host
from brasstray.command.options import (
    DEFAULT_CALLER,
    DEFAULT_URL,
    Caller,
    Json,
    Url,
    run_client,
)
from brasstray.command.render import answer_lines
from brasstray.command.table import table_app
from brasstray.command.trace import trace
from brasstray.settings.check import validate_settings_file

if TYPE_CHECKING:
    from brasstray.client.client import Client
    from brasstray.job.answer import Answer

_EPILOG = (
    "Exit statuses: 0 complete, 1 failed, 2 bad usage or settings, "
    "3 refused and not run, 4 not yet known, 5 no entry host reached."
)
app = typer.Typer(
    help="Submit jobs and inspect entry hosts.",
    epilog=_EPILOG,
    no_args_is_help=True,
    add_completion=False,
)
settings_app = typer.Typer(help="Check settings files.", no_args_is_help=True)
app.add_typer(settings_app, name="settings")
app.add_typer(table_app, name="table")
app.command()(trace)
app.command()(host)

Wait = Annotated[float, typer.Option(min=0, help="Seconds to wait for the answer.")]
KeyArgument = Annotated[str, typer.Argument(help="The job's key.")]


@app.command()
def submit(
    job_file: Annotated[Path, typer.Argument(help="A job as JSON.")],
    url: Url = DEFAULT_URL,
    caller: Caller = DEFAULT_CALLER,
    key: Annotated[
        str | None, typer.Option(help="The job's key; by default a new key is made.")
    ] = None,
    wait: Wait = 60,
    as_json: Json = False,
) -> None:
    """Submit a job and print its answer; the key is printed first, for retries."""
    try:
        body = job_file.read_bytes()
    except OSError as error:
        typer.echo(f"{job_file}: {error}", err=True)
        raise typer.Exit(ExitStatus.BAD_USAGE) from error

    async def run(client: Client) -> Answer:
        job_key = key or await client.mint_key()
        typer.echo(f"key: {job_key}", err=True)
        return await client.submit_until_final(body, job_key, timedelta(seconds=wait))

    _print_and_exit(run_client(url, caller, run), as_json)


@app.command()
def answer(
    key: KeyArgument,
    url: Url = DEFAULT_URL,
    caller: Caller = DEFAULT_CALLER,
    wait: Wait = 0,
    as_json: Json = False,
) -> None:
    """Print the answer to a job submitted before."""
    timeout = timedelta(seconds=wait)
    _print_and_exit(
        run_client(url, caller, lambda client: client.fetch(key, timeout)), as_json
    )


@app.command()
def cancel(
    key: KeyArgument,
    url: Url = DEFAULT_URL,
    caller: Caller = DEFAULT_CALLER,
    as_json: Json = False,
) -> None:
    """Stop starting tasks of a job and print the state of each task."""
    timeout = timedelta(seconds=10)
    _print_and_exit(
        run_client(url, caller, lambda client: client.cancel(key, timeout)), as_json
    )


@app.command()
def status(
    url: Url = DEFAULT_URL, caller: Caller = DEFAULT_CALLER, as_json: Json = False
) -> None:
    """Print an entry host's status, its peers and its minions."""
    page = run_client(url, caller, lambda client: client.status())
    if as_json:
        typer.echo(json.dumps(page))
        return
    journal = page["journal"]
    typer.echo(f"{page['incarnation']}: {page['state']}")
    typer.echo(f"  jobs without answer: {page['jobs_unanswered']}")
    typer.echo(f"  jobs remembered: {page['jobs_remembered']}")
    typer.echo(f"  journal: term {journal['term']}, led by {journal['leader']}")
    if journal.get("offline"):
        typer.echo("  the platform is unreachable: replicas hold the journal")
    for peer in page["peers"]:
        state = "draining" if peer["draining"] else "live"
        typer.echo(f"  peer {peer['incarnation']}: {state}")
    minions = page["minions"]
    leaving = sum(minion["leaving"] for minion in minions)
    busy = sum(minion["outstanding"] for minion in minions)
    credits_held = sum(minion["credits"] for minion in minions)
    typer.echo(f"  minions: {len(minions)}, {leaving} leaving")
    typer.echo(f"  slot credits held here: {credits_held}, tasks sent: {busy}")


@settings_app.command("check")
def check_settings(
    file: Annotated[Path, typer.Argument(help="The INI file to check.")],
    as_json: Json = False,
) -> None:
    """Report every invalid line of a settings file of either daemon."""
    result = validate_settings_file(file)
    if as_json:
        typer.echo(json.dumps(result.as_json()))
    elif not result.problems:
        typer.echo(f"{file}: valid for {result.daemon.value}")
    else:
        for problem in result.problems:
            typer.echo(f"{file}: {problem}", err=True)
    if result.problems:
        raise typer.Exit(ExitStatus.BAD_USAGE)


@app.command()
def demo(
    seed: Annotated[int, typer.Option(help="Seed for random numbers.")] = 1,
    examples: Annotated[Path, typer.Option(help="Folder of the job files.")] = Path(
        "examples"
    ),
    as_json: Json = False,
) -> None:
    """Run a complete system on loopback, inject faults, and check its invariants."""
    # Imported here so that no other command loads the stand-ins.
    from brasstray_standins.demo import render, run_demo

    # Servers that the demo kills would fill the terminal with tracebacks.
    logging.getLogger("uvicorn").addHandler(logging.NullHandler())
    logging.getLogger("websockets").addHandler(logging.NullHandler())
    try:
        report = anyio.run(partial(run_demo, seed, examples), backend="asyncio")
    except OSError as error:
        typer.echo(f"{examples}: {error}", err=True)
        raise typer.Exit(ExitStatus.BAD_USAGE) from error
    typer.echo(json.dumps(report.as_json()) if as_json else render(report))
    if report.broken_rules:
        raise typer.Exit(ExitStatus.FAILED)


def _print_and_exit(answer: Answer, as_json: bool) -> None:
    if as_json:
        typer.echo(answer.model_dump_json(exclude_none=True))
    else:
        typer.echo("\n".join(answer_lines(answer)))
    sys.stdout.flush()
    raise typer.Exit(exit_status_for(answer.outcome))


def main() -> None:
    """Run the command line."""
    app()


__all__ = ["app", "main"]
