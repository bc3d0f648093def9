"""The subcommands that measure real gateways."""

from __future__ import annotations

from dataclasses import replace
from functools import partial
from pathlib import Path

import click
from msgspec import structs

from rushroad.bench.fleet_size import FleetSize, parse_fleet_size
from rushroad.bench.options import out_option, parse_numbers, parse_sizes, seed_option, sizes_option
from rushroad.bench.real.measurements import measure_changes, measure_cost, measure_start
from rushroad.bench.real.rows import CostRow, CounterBytesRow, DemoRow
from rushroad.bench.real.runs import Case, add_fits, add_measured, finish, measure_costs
from rushroad.bench.real.scene import PEAK_REQUEST_RATE, Scene
from rushroad.bench.report import Run
from rushroad.bench.rows import ConditionRow, Row

SIZES = "3/60,101/2000,1010/20000,4900/97000"  # gateways/rate servers, up to the planned fleet size
RATES = "43,87,173,346"  # requests a second at a gateway, up to twice the planned peak
TENANTS = "1000,10000,100000,360000"
LIST_LENGTHS = "60,2000,20000,97000"
MANY_TENANTS_RATE = 800.0  # requests a second at a gateway: under half of a core, and many tenants soon
BURST = 4_042  # endpoints removed in one message, of 97,000

gateways_option = click.option(
    "--gateways", default=1, show_default=True, help="Real ones; the fleet's size is in their settings."
)
seconds_option = click.option("--seconds", default=10.0, show_default=True, help="Of requests, for each row.")
rate_option = click.option(
    "--rate", default=PEAK_REQUEST_RATE, show_default=True, help="Requests/s at each gateway."
)
size_option = click.option("--size", default="101/2000", show_default=True, help="GATEWAYS/SERVERS.")
work_option = click.option("--work-ms", default=20.0, show_default=True, help="Of a server on a request.")


def _fleet_condition(size: FleetSize) -> ConditionRow:
    return ConditionRow(fleet=size.gateways, servers=size.rate_servers)


@click.command("demo")
@click.option("--size", default="3/12", show_default=True, help="GATEWAYS/SERVERS; all gateways are real.")
@click.option("--rate", default=50.0, show_default=True, help="Requests/s at each gateway.")
@click.option("--seconds", default=5.0, show_default=True, help="Of requests.")
@work_option
@seed_option
@out_option
def demo_command(size: str, rate: float, seconds: float, work_ms: float, seed: int, out: Path | None) -> None:
    """A small fleet of real gateways under load for a few seconds."""
    (fleet_size,) = parse_sizes(size)
    scene = Scene(fleet_size, fleet_size.gateways, rate, seconds, work_ms=work_ms, seed=seed)
    run = Run("demo", seed, scene.parameters())
    condition = ConditionRow(gateways=fleet_size.gateways, servers=fleet_size.rate_servers)
    add_measured(run, condition, lambda: _demo_row(measure_cost(scene, condition)))
    finish(run, out)


def _demo_row(cost: CostRow) -> DemoRow:
    figures = structs.asdict(cost)
    return DemoRow(**{name: figures[name] for name in DemoRow.__struct_fields__})


@click.command("cost-by-servers")
@sizes_option(SIZES)
@click.option("--changes", default=1.0, show_default=True, help="Of the list, a second.")
@rate_option
@seconds_option
@work_option
@gateways_option
@seed_option
@out_option
def cost_by_servers_command(
    sizes: str,
    changes: float,
    rate: float,
    seconds: float,
    work_ms: float,
    gateways: int,
    seed: int,
    out: Path | None,
) -> None:
    """Processor time, added latency and memory of a gateway by the size of its fleet."""
    cases = [
        Case(
            _fleet_condition(size),
            Scene(size, gateways, rate, seconds, work_ms=work_ms, list_changes_per_s=changes, seed=seed),
        )
        for size in parse_sizes(sizes)
    ]
    run = measure_costs("cost-by-servers", cases, seed)
    add_fits(run, "servers", ("cpu_us_request", "added_p50_ms", "idle_core_share", "peak_mb"))
    finish(run, out)


@click.command("cost-by-rate")
@click.option("--rates", default=RATES, show_default=True, help="Requests/s at each gateway, with commas.")
@size_option
@seconds_option
@work_option
@gateways_option
@seed_option
@out_option
def cost_by_rate_command(
    rates: str, size: str, seconds: float, work_ms: float, gateways: int, seed: int, out: Path | None
) -> None:
    """Processor time and added latency of a gateway by its requests a second."""
    (fleet_size,) = parse_sizes(size)
    scene = Scene(fleet_size, gateways, seconds=seconds, work_ms=work_ms, seed=seed)
    cases = [
        Case(ConditionRow(rate=rate), replace(scene, request_rate=rate)) for rate in parse_numbers(rates)
    ]
    run = measure_costs("cost-by-rate", cases, seed)
    add_fits(run, "rate", ("core_share", "added_p50_ms"))
    finish(run, out)


@click.command("cost-by-tenants")
@click.option("--tenants", default=TENANTS, show_default=True, help="Tenants, with commas.")
@size_option
@click.option("--rate", default=MANY_TENANTS_RATE, show_default=True, help="Requests/s at each gateway.")
@click.option("--seconds", default=30.0, show_default=True, help="Of requests, for each row.")
@work_option
@gateways_option
@seed_option
@out_option
def cost_by_tenants_command(
    tenants: str,
    size: str,
    rate: float,
    seconds: float,
    work_ms: float,
    gateways: int,
    seed: int,
    out: Path | None,
) -> None:
    """Processor time and memory of a gateway by the tenants of its requests.

    How many of them it met is in `tenants_seen`: with more than rate x seconds, each comes about once.
    """
    (fleet_size,) = parse_sizes(size)
    scene = Scene(fleet_size, gateways, rate, seconds, work_ms=work_ms, seed=seed)
    numbers = [int(number) for number in parse_numbers(tenants)]
    cases = [Case(ConditionRow(tenants=number), replace(scene, tenants=number)) for number in numbers]
    run = measure_costs("cost-by-tenants", cases, seed)
    add_fits(run, "tenants_seen", ("cpu_us_request", "peak_mb"))
    finish(run, out)


@click.command("whole-list")
@click.option("--servers", default=LIST_LENGTHS, show_default=True, help="Entries of the list, with commas.")
@click.option("--fleet", default=4_900, show_default=True, help="Gateways, in the settings.")
@seed_option
@out_option
def whole_list_command(servers: str, fleet: int, seed: int, out: Path | None) -> None:
    """From the start to the first PONG and the first request served, by the list; and peak memory."""
    run = Run("whole-list", seed, {"servers": servers, "fleet": fleet})
    for count in parse_numbers(servers):
        from_discovery = Scene(
            parse_fleet_size(f"{fleet}/{int(count)}"), list_configured=False, work_ms=0.0, seed=seed
        )
        for source, scene in (
            ("known", replace(from_discovery, list_configured=True)),
            ("compact", from_discovery),
            ("indented", replace(from_discovery, list_indent=1)),
        ):
            condition = ConditionRow(servers=int(count), source=source)
            add_measured(run, condition, partial(measure_start, scene, condition))
    finish(run, out)


@click.command("changes")
@sizes_option(SIZES)
@click.option("--burst", default=BURST, show_default=True, help="Removed in one message; half at most.")
@rate_option
@work_option
@seed_option
@out_option
def changes_command(sizes: str, burst: int, rate: float, work_ms: float, seed: int, out: Path | None) -> None:
    """The longest stall, by PINGs, at one endpoint removed and at a burst; attempts to those removed."""
    run = Run("changes", seed, {"sizes": sizes, "burst": burst, "rate": rate, "work_ms": work_ms})
    for size in parse_sizes(sizes):
        scene, condition = Scene(size, request_rate=rate, work_ms=work_ms, seed=seed), _fleet_condition(size)
        add_measured(run, condition, partial(measure_changes, scene, burst, condition))
    finish(run, out)


@click.command("counter-bytes")
@sizes_option(SIZES)
@rate_option
@seconds_option
@seed_option
@out_option
def counter_bytes_command(sizes: str, rate: float, seconds: float, seed: int, out: Path | None) -> None:
    """Calls and bytes to the counter and back, for each request."""
    cases = [
        Case(_fleet_condition(size), Scene(size, request_rate=rate, seconds=seconds, seed=seed))
        for size in parse_sizes(sizes)
    ]
    run = measure_costs("counter-bytes", cases, seed)
    run.rows = [_counter_bytes_row(row) for row in run.rows]
    finish(run, out)


def _counter_bytes_row(row: Row) -> Row:
    if not isinstance(row, CostRow):
        return row
    figures = structs.asdict(row)
    return CounterBytesRow(**{name: figures[name] for name in CounterBytesRow.__struct_fields__})


COMMANDS = (
    demo_command,
    cost_by_servers_command,
    cost_by_rate_command,
    cost_by_tenants_command,
    whole_list_command,
    changes_command,
    counter_bytes_command,
)
