"""Options of the command line that several subcommands share, and how a run's results are written."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path

import click

from rushroad.bench.fleet_size import FleetSize, parse_fleet_size
from rushroad.bench.report import Run

Command = Callable[..., None]

seed_option = click.option("--seed", default=1, show_default=True, help="Of all random numbers in the run.")
out_option = click.option(
    "--out", type=click.Path(path_type=Path, dir_okay=False), help="File that the line of JSON is added to."
)


def sizes_option(default: str) -> Callable[[Command], Command]:
    """The option --sizes with its default."""
    return click.option("--sizes", default=default, show_default=True, help="GATEWAYS/SERVERS,...")


def parse_sizes(texts: str) -> list[FleetSize]:
    """Sizes from "GATEWAYS/SERVERS,..."; raises click.BadParameter where one is none."""
    try:
        return [parse_fleet_size(text) for text in texts.split(",")]
    except ValueError as error:
        raise click.BadParameter(f"sizes are GATEWAYS/SERVERS,...: {error}") from None


def parse_numbers(text: str) -> list[float]:
    """Numbers above 0 with commas between them; raises click.BadParameter where they are not."""
    try:
        numbers = [float(part) for part in text.split(",")]
    except ValueError as error:
        raise click.BadParameter(str(error)) from None
    if not all(number > 0 for number in numbers):
        raise click.BadParameter("numbers above 0, with commas between them")
    return numbers


def append_results(run: Run, out: Path) -> None:
    """Print the run's table, and add its record to the file."""
    with out.open("a") as file:
        run.write_results(file)
