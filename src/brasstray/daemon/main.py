"""Define the command line of an entry host's daemon, brasstrayd."""

from __future__ import annotations

import logging
import sys
from functools import partial
from pathlib import Path
from typing import Annotated

import anyio
import typer
from eliot import to_file
from eliot.stdlib import EliotHandler
from result import Err, Ok

from brasstray.daemon.entry_daemon import run_entry_daemon
from brasstray.metrics.entry_metrics import InMemoryMetrics
from brasstray.settings.entry_settings import read_entry_settings

EXIT_INVALID_SETTINGS = 2
EXIT_CANNOT_LISTEN = 3


def run(
    settings: Annotated[Path, typer.Option(help="The INI file with the settings.")],
) -> None:
    """Serve as an entry host until SIGTERM; then finish active jobs and exit."""
    match read_entry_settings(settings):
        case Err(problems):
            for problem in problems:
                typer.echo(f"{settings}: {problem}", err=True)
            raise typer.Exit(EXIT_INVALID_SETTINGS)
        case Ok(read):
            to_file(sys.stderr)
            logging.getLogger().addHandler(EliotHandler())
            metrics = InMemoryMetrics().metrics(read.entry.host)
            try:
                anyio.run(partial(run_entry_daemon, read, metrics), backend="asyncio")
            except OSError as error:
                typer.echo(f"{settings}: cannot listen: {error}", err=True)
                raise typer.Exit(EXIT_CANNOT_LISTEN) from error


def main() -> None:
    """Run the command-line program."""
    typer.run(run)


__all__ = ["main"]
