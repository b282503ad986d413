"""Define the commands that show and change the operators' table."""

from __future__ import annotations

import csv
import io
import time
from pathlib import Path
from random import SystemRandom
from typing import TYPE_CHECKING, Annotated

import typer
from pydantic import ValidationError

from brasstray.client.table_client import TableClient
from brasstray.clock.loop import LoopClock
from brasstray.command.exit_status import ExitStatus
from brasstray.command.options import (
    DEFAULT_CALLER,
    DEFAULT_URL,
    Caller,
    Json,
    Url,
    run_client,
)
from brasstray.job.request import format_validation_errors
from brasstray.table.errors import TableConflictError
from brasstray.table.row import ANY_PERIOD, COLUMNS, TableRow

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from brasstray.client.client import Client
    from brasstray.table.table import Table

WAIT_SECONDS = 14.0
POLL_SECONDS = 0.5
table_app = typer.Typer(
    help="Show and change the table of weights and limits.", no_args_is_help=True
)


def _table_client(client: Client) -> TableClient:
    return TableClient(client, LoopClock(), SystemRandom())


def _format_table(table: Table) -> list[str]:
    cells = [list(COLUMNS)]
    for row in table.rows:
        cells.append([_format_cell(value) for value in row.model_dump().values()])
    widths = [max(len(line[i]) for line in cells) for i in range(len(COLUMNS))]
    lines = [
        "  ".join(cell.ljust(width) for cell, width in zip(line, widths, strict=True))
        for line in cells
    ]
    return [f"version {table.version} by {table.author or 'nobody'}", *lines]


def _format_cell(value: object) -> str:
    if isinstance(value, bool):
        return "yes" if value else "no"
    return str(value)


@table_app.command()
def show(
    url: Url = DEFAULT_URL, caller: Caller = DEFAULT_CALLER, as_json: Json = False
) -> None:
    """Print the table in force."""
    table = run_client(url, caller, lambda client: _table_client(client).read())
    typer.echo(table.model_dump_json() if as_json else "\n".join(_format_table(table)))


@table_app.command("set")
def set_row(
    service: Annotated[str, typer.Argument(help="The row's service.")],
    changes: Annotated[
        list[str], typer.Argument(help="Cells to set, such as weight=2.")
    ],
    period: Annotated[str, typer.Option(help="The row's period.")] = ANY_PERIOD,
    wait: Annotated[bool, typer.Option("--wait", help="Wait for all hosts.")] = False,
    url: Url = DEFAULT_URL,
    caller: Caller = DEFAULT_CALLER,
) -> None:
    """Change cells of one row, or add the row."""
    cells = dict(change.partition("=")[::2] for change in changes)

    def edit(rows: list[TableRow]) -> list[TableRow]:
        row_key = {"service": service, "period": period}
        others = [r for r in rows if (r.service, r.period) != (service, period)]
        old = next((r.model_dump() for r in rows if r not in others), row_key)
        return [
            *others,
            _parse_row({**old, **cells, **row_key}, f"{service}, {period}"),
        ]

    _change(url, caller, edit, wait)


@table_app.command("import")
def import_file(
    file: Annotated[Path, typer.Argument(help="A CSV file with a header line.")],
    wait: Annotated[bool, typer.Option("--wait", help="Wait for all hosts.")] = False,
    url: Url = DEFAULT_URL,
    caller: Caller = DEFAULT_CALLER,
) -> None:
    """Replace all rows by those of a CSV file."""
    try:
        lines = list(csv.DictReader(io.StringIO(file.read_text(encoding="utf-8"))))
    except (OSError, UnicodeDecodeError) as error:
        typer.echo(f"{file}: {error}", err=True)
        raise typer.Exit(ExitStatus.BAD_USAGE) from error
    rows = [
        _parse_row(cells, f"line {number}") for number, cells in enumerate(lines, 2)
    ]
    _change(url, caller, lambda _: rows, wait)


@table_app.command("export")
def export_file(url: Url = DEFAULT_URL, caller: Caller = DEFAULT_CALLER) -> None:
    """Print the table as CSV."""
    table = run_client(url, caller, lambda client: _table_client(client).read())
    out = io.StringIO()
    writer = csv.writer(out, lineterminator="\n")
    writer.writerow(COLUMNS)
    for row in table.rows:
        writer.writerow([_format_cell(value) for value in row.model_dump().values()])
    typer.echo(out.getvalue(), nl=False)


@table_app.command()
def history(url: Url = DEFAULT_URL, caller: Caller = DEFAULT_CALLER) -> None:
    """Print every version with its author, time and changed rows."""
    tables = run_client(url, caller, lambda client: _table_client(client).history())
    before: set[TableRow] = set()
    for table in tables:
        typer.echo(f"version {table.version} by {table.author} at {table.changed}")
        rows = set(table.rows)
        for sign, changed in (("-", before - rows), ("+", rows - before)):
            for row in sorted(changed, key=lambda row: (row.service, row.period)):
                cells = row.model_dump().values()
                typer.echo(f"  {sign} {' '.join(map(_format_cell, cells))}")
        before = rows


def _parse_row(cells: dict, location: str) -> TableRow:
    try:
        return TableRow.model_validate(cells)
    except ValidationError as error:
        typer.echo(f"{location}: {format_validation_errors(error.errors())}", err=True)
        raise typer.Exit(ExitStatus.BAD_USAGE) from error


def _change(
    url: str,
    caller: str,
    edit: Callable[[list[TableRow]], list[TableRow]],
    wait: bool,
) -> None:
    async def run(client: Client) -> Table:
        tables = _table_client(client)
        return await tables.change(edit, await tables.read())

    try:
        table = run_client(url, caller, run)
    except TableConflictError as error:
        typer.echo(f"nothing was changed: {error}; the current table is:", err=True)
        typer.echo("\n".join(_format_table(error.current)), err=True)
        raise typer.Exit(ExitStatus.REFUSED) from error
    typer.echo(f"version {table.version} is accepted")
    if wait:
        _wait_for_hosts(url, caller, table.version)


def _wait_for_hosts(url: str, caller: str, version: int) -> None:
    async def fetch_versions(client: Client) -> dict[str, int | None]:
        return await _table_client(client).versions()

    call: Callable[[Client], Awaitable[dict[str, int | None]]] = fetch_versions
    started_at = time.monotonic()
    while True:
        versions = run_client(url, caller, call)
        outdated = [host for host, found in versions.items() if (found or 0) < version]
        if not outdated or time.monotonic() - started_at > WAIT_SECONDS:
            break
        time.sleep(POLL_SECONDS)
    elapsed = time.monotonic() - started_at
    typer.echo(
        f"in force on {len(versions) - len(outdated)} hosts after {elapsed:.1f} s"
    )
    for host in outdated:
        state = "silent" if versions[host] is None else f"version {versions[host]}"
        typer.echo(f"  not on {host}: {state}", err=True)
    if outdated:
        raise typer.Exit(ExitStatus.NOT_YET_KNOWN)


__all__ = ["table_app"]
