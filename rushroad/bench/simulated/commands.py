"""The subcommands for experiments on simulated fleets."""

from __future__ import annotations

from pathlib import Path

import click

from rushroad.bench.options import append_results, out_option, parse_sizes, seed_option, sizes_option
from rushroad.bench.report import Run
from rushroad.bench.simulated.cold_fleet import run_cold_fleet
from rushroad.bench.simulated.module_cost import run_module_cost
from rushroad.bench.simulated.restart_tenth import run_restart_tenth
from rushroad.bench.simulated.spread import run_spread
from rushroad.bench.simulated.zone_lost import run_zone_lost

MODULE_COST_SIZES = "3/40,200/40,30/200,200/200,100/2000,400/8000,4900/97000"
SPREAD_SIZES = "10/40,30/12,200/200,400/2000,1000/20000,4900/97000"
FLEET_SIZES = "30/12,200/200,1000/20000,4900/97000"
MAX_FULLY_SIMULATED_GATEWAYS = 60  # limits a run over all sizes to minutes

max_gateways_option = click.option(
    "--most",
    "max_gateways",
    default=MAX_FULLY_SIMULATED_GATEWAYS,
    show_default=True,
    help="Largest fleet, in gateways, of which all are simulated; of larger ones, only some.",
)


def _finish(run: Run, out: Path | None) -> None:
    """Print the table, and append the record to the output file, if any."""
    if out is None:
        run.write_results(None)
    else:
        append_results(run, out)


@click.command("module-cost")
@sizes_option(MODULE_COST_SIZES)
@click.option("--requests", default=3_000, show_default=True, help="Requests for each size.")
@click.option(
    "--patience",
    "cpu_limit_s",
    default=20.0,
    show_default=True,
    help="CPU time limit for each size, in seconds.",
)
@seed_option
@out_option
def module_cost_command(sizes: str, requests: int, cpu_limit_s: float, seed: int, out: Path | None) -> None:
    """CPU time and memory of the decision policy alone, by numbers of servers and gateways."""
    _finish(run_module_cost(parse_sizes(sizes), requests, cpu_limit_s, seed), out)


@click.command("spread")
@sizes_option(SPREAD_SIZES)
@seed_option
@out_option
def spread_command(sizes: str, seed: int, out: Path | None) -> None:
    """Balance and stability of the subsets of servers that gateways send to."""
    _finish(run_spread(parse_sizes(sizes), seed), out)


@click.command("cold-fleet")
@sizes_option(FLEET_SIZES)
@click.option(
    "--trials", default=10, show_default=True, help="Trials for each size, with one new server each."
)
@max_gateways_option
@seed_option
@out_option
def cold_fleet_command(sizes: str, trials: int, max_gateways: int, seed: int, out: Path | None) -> None:
    """Load on a server while it warms up, relative to the load that crashes it."""
    _finish(run_cold_fleet(parse_sizes(sizes), trials, max_gateways, seed), out)


@click.command("restart-tenth")
@sizes_option(FLEET_SIZES)
@max_gateways_option
@seed_option
@out_option
def restart_tenth_command(sizes: str, max_gateways: int, seed: int, out: Path | None) -> None:
    """Restart of a tenth of the gateways at once."""
    _finish(run_restart_tenth(parse_sizes(sizes), max_gateways, seed), out)


@click.command("zone-lost")
@sizes_option(FLEET_SIZES)
@click.option(
    "--zones",
    multiple=True,
    default=(24, 3),
    show_default=True,
    help="Number of zones, of which one is lost.",
)
@max_gateways_option
@seed_option
@out_option
def zone_lost_command(
    sizes: str, zones: tuple[int, ...], max_gateways: int, seed: int, out: Path | None
) -> None:
    """Loss of a zone: its servers go silent, leave the endpoint list and restart."""
    _finish(run_zone_lost(parse_sizes(sizes), zones, max_gateways, seed), out)


COMMANDS = (module_cost_command, spread_command, cold_fleet_command, restart_tenth_command, zone_lost_command)
