"""Run the days (fault scenarios) of troubles.toml and print a table of results."""

from __future__ import annotations

import json
import subprocess
import tempfile
import tomllib
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any

import typer

from measure.table import as_json, markdown

CATALOGUE = Path(__file__).parent / "troubles.toml"
# Long enough for a fault at 6 s, its end, and a fault-free period that shows whether
# service recovers.
DURATION_S = 22.0
# In a window with fewer requests, a single one would determine the minimum.
MIN_REQUESTS = 20


@dataclass(frozen=True)
class DayResult:
    """Hold the results of a day; `rules` lists the rules that it violated."""

    day: str
    rules: str
    worth: float
    served: float
    refused: float
    failed: float
    worst_zone: float
    worst_two_seconds: float


def read_days(only: str) -> list[dict[str, Any]]:
    """Return the days of the catalogue whose names contain `only`."""
    days = tomllib.loads(CATALOGUE.read_text())["day"]
    return [day for day in days if only in day["name"]]


def run_day(bench: Path, site: Path, day: dict[str, Any], seed: int) -> DayResult:
    """Run one day with the program `bench` and return its results."""
    with tempfile.TemporaryDirectory() as folder:
        text = Path(folder) / f"{day['name']}.toml"
        report = Path(folder) / "report.json"
        text.write_text(_day_text(day, seed))
        command = [str(bench), "run", str(site), str(text), "--report", str(report)]
        why = f"own day {day['name']}, seed {day['seed'] + seed}"
        done = subprocess.run([*command, "--why", why], capture_output=True, text=True)
        if not report.exists():
            lines = (done.stderr or done.stdout).strip().splitlines()
            reason = lines[-1] if lines else f"exit status {done.returncode}"
            return DayResult(day["name"], f"not run: {reason}", *(0.0,) * 6)
        return _day_result(day["name"], json.loads(report.read_text()))


def _day_text(day: dict[str, Any], seed: int) -> str:
    lines = [
        f"name = {json.dumps(day['name'])}",
        'slot = "trouble"',
        f"seed = {day['seed'] + seed}",
        f"length_s = {DURATION_S}",
        "faults = [",
        *("  " + _inline_table(fault) + "," for fault in day["faults"]),
        "]",
    ]
    return "\n".join(lines) + "\n"


def _inline_table(fault: dict[str, Any]) -> str:
    return "{ " + ", ".join(f"{k} = {json.dumps(v)}" for k, v in fault.items()) + " }"


def _day_result(name: str, report: dict[str, Any]) -> DayResult:
    violations = [f"{rule} {count}" for rule, count in report["breaks"].items()]
    if report["fault"]:
        violations.append(f"fault: {report['fault']}")
    zones = [zone["worth"] for zone in report["zones"]]
    windows = [w["worth"] for w in report["windows"] if w["n"] >= MIN_REQUESTS]
    return DayResult(
        name,
        ", ".join(violations),
        report["G"],
        report["served"],
        report["refused"],
        report["failed"],
        min(zones, default=0.0),
        min(windows, default=0.0),
    )


def main(
    bench: Annotated[Path, typer.Argument(help="The program that runs days.")],
    site: Annotated[
        Path, typer.Argument(help="The file that describes the deployment.")
    ],
    only: Annotated[
        str, typer.Option(help="Run only days whose names contain this.")
    ] = "",
    jobs: Annotated[int, typer.Option(help="The number of days to run at once.")] = 4,
    seed: Annotated[
        int, typer.Option(help="A number to add to the seed of each day.")
    ] = 0,
    json_: Annotated[bool, typer.Option("--json", help="Print JSON.")] = False,
) -> None:
    """Run the days on `site`; exit with status 1 if one violated a rule."""
    days = read_days(only)
    with ThreadPoolExecutor(jobs) as pool:
        rows = list(pool.map(lambda day: run_day(bench, site, day, seed), days))
    typer.echo(as_json(rows) if json_ else markdown(rows))
    if any(row.rules for row in rows):
        raise typer.Exit(1)


if __name__ == "__main__":
    app = typer.Typer(pretty_exceptions_enable=False)
    app.command()(main)
    app()
