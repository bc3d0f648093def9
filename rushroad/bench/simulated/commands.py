"""The subcommands that simulate fleets."""

from __future__ import annotations

from pathlib import Path

import click

from rushroad.bench.options import append_results, out_option, parse_sizes, seed_option, sizes_option
from rushroad.bench.report import Run
from rushroad.bench.simulated.cold_fleet import cold_fleet
from rushroad.bench.simulated.module_cost import module_cost
from rushroad.bench.simulated.restart_tenth import restart_tenth
from rushroad.bench.simulated.spread import spread
from rushroad.bench.simulated.zone_lost import zone_lost

COST_SIZES = "3/40,200/40,30/200,200/200,100/2000,400/8000,4900/97000"
SPREAD_SIZES = "10/40,30/12,200/200,400/2000,1000/20000,4900/97000"
FLEET_SIZES = "30/12,200/200,1000/20000,4900/97000"
MAX_WHOLE_FLEET = 60  # gateways that are all simulated: minutes of work for all sizes

max_gateways_option = click.option(
    "--most",
    "max_gateways",
    default=MAX_WHOLE_FLEET,
    show_default=True,
    help="Gateways simulated; of more, a part.",
)


def _finish(run: Run, out: Path | None) -> None:
    """Print the table, and add the record to the file if there is one."""
    if out is None:
        run.write_results(None)
    else:
        append_results(run, out)


@click.command("module-cost")
@sizes_option(COST_SIZES)
@click.option("--requests", default=3_000, show_default=True, help="For each size.")
@click.option("--patience", default=20.0, show_default=True, help="Seconds of processor time for each size.")
@seed_option
@out_option
def module_cost_command(sizes: str, requests: int, patience: float, seed: int, out: Path | None) -> None:
    """Processor time and memory of the decision policy alone, by servers and gateways."""
    _finish(module_cost(parse_sizes(sizes), requests, patience, seed), out)


@click.command("spread")
@sizes_option(SPREAD_SIZES)
@seed_option
@out_option
def spread_command(sizes: str, seed: int, out: Path | None) -> None:
    """How evenly servers and gateways share each other, and what a join or leave changes."""
    _finish(spread(parse_sizes(sizes), seed), out)


@click.command("cold-fleet")
@sizes_option(FLEET_SIZES)
@click.option("--trials", default=10, show_default=True, help="New servers for each size, one at a time.")
@max_gateways_option
@seed_option
@out_option
def cold_fleet_command(sizes: str, trials: int, max_gateways: int, seed: int, out: Path | None) -> None:
    """What a server that warms up gets from all its gateways, against what makes it crash."""
    _finish(cold_fleet(parse_sizes(sizes), trials, max_gateways, seed), out)


@click.command("restart-tenth")
@sizes_option(FLEET_SIZES)
@max_gateways_option
@seed_option
@out_option
def restart_tenth_command(sizes: str, max_gateways: int, seed: int, out: Path | None) -> None:
    """A tenth of the gateways restarts at once."""
    _finish(restart_tenth(parse_sizes(sizes), max_gateways, seed), out)


@click.command("zone-lost")
@sizes_option(FLEET_SIZES)
@click.option("--zones", multiple=True, default=(24, 3), show_default=True, help="Zones in all; one is lost.")
@max_gateways_option
@seed_option
@out_option
def zone_lost_command(
    sizes: str, zones: tuple[int, ...], max_gateways: int, seed: int, out: Path | None
) -> None:
    """A zone's servers go silent, leave the list and come back without being warm."""
    _finish(zone_lost(parse_sizes(sizes), zones, max_gateways, seed), out)


COMMANDS = (module_cost_command, spread_command, cold_fleet_command, restart_tenth_command, zone_lost_command)
