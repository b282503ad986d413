"""List the measurements, run one, or update the result tables of a page."""

from __future__ import annotations

from importlib import import_module
from pathlib import Path
from typing import Annotated

import typer

from measure.pages import fill
from measure.table import as_json, markdown

MEASUREMENTS = (
    "journal",
    "routing",
    "faults",
    "daemon_cpu",
    "idle_cpu",
    "capacity",
    "log_cost",
    "learned_values",
)


def _table(name: str, seed: int) -> str:
    return markdown(import_module(f"measure.{name}").run(seed))


def run(
    name: Annotated[str, typer.Argument(help="A measurement, list or fill")],
    page: Annotated[
        Path | None, typer.Argument(help="The page whose tables to update.")
    ] = None,
    seed: Annotated[int, typer.Option(help="The seed of all random choices.")] = 1,
    json: Annotated[bool, typer.Option("--json", help="Print JSON.")] = False,
) -> None:
    """Run a measurement and print its table."""
    if name == "list":
        for measurement in MEASUREMENTS:
            doc = import_module(f"measure.{measurement}").__doc__ or ""
            typer.echo(f"{measurement}: {doc.splitlines()[0]}")
    elif name == "fill" and page is not None:
        page.write_text(fill(page.read_text(), _table))
    elif name not in MEASUREMENTS:
        typer.echo(
            f"unknown measurement {name}, expected one of {', '.join(MEASUREMENTS)}",
            err=True,
        )
        raise typer.Exit(2)
    elif json:
        typer.echo(as_json(import_module(f"measure.{name}").run(seed)))
    else:
        typer.echo(_table(name, seed))


if __name__ == "__main__":
    app = typer.Typer(pretty_exceptions_enable=False)
    app.command()(run)
    app()
