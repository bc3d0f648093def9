"""Command-line options that subcommands share, and the output of a run's results to a file."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path

import click

from rushroad.bench.fleet_size import FleetSize, parse_fleet_size
from rushroad.bench.report import Run

CommandFunction = Callable[..., None]

seed_option = click.option("--seed", default=1, show_default=True, help="Seed of all random numbers.")
out_option = click.option(
    "--out", type=click.Path(path_type=Path, dir_okay=False), help="File to append the JSON record to."
)


def sizes_option(default: str) -> Callable[[CommandFunction], CommandFunction]:
    """Return the option --sizes with this default."""
    return click.option(
        "--sizes", default=default, show_default=True, help="Fleet sizes, as GATEWAYS/SERVERS,..."
    )


def parse_sizes(text: str) -> list[FleetSize]:
    """Parse fleet sizes, "GATEWAYS/SERVERS,..."; raises click.BadParameter if one is malformed."""
    try:
        return [parse_fleet_size(size) for size in text.split(",")]
    except ValueError as error:
        raise click.BadParameter(f"expected GATEWAYS/SERVERS,..., got {text!r}: {error}") from None


def parse_numbers(text: str) -> list[float]:
    """Parse comma-separated numbers above 0; raises click.BadParameter if one is malformed."""
    try:
        numbers = [float(part) for part in text.split(",")]
    except ValueError as error:
        raise click.BadParameter(str(error)) from None
    if not all(number > 0 for number in numbers):
        raise click.BadParameter(f"expected comma-separated numbers above 0, got {text!r}")
    return numbers


def append_results(run: Run, out: Path) -> None:
    """Print the run's table, and append its record to the file."""
    with out.open("a") as file:
        run.write_results(file)
