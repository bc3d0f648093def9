"""Subcommands that measure real gateway processes."""

from __future__ import annotations

from dataclasses import replace
from functools import partial
from pathlib import Path

import click
from msgspec import structs

from rushroad.bench.fleet_size import FleetSize, parse_fleet_size
from rushroad.bench.flood_size import FloodSize, parse_flood_size
from rushroad.bench.options import out_option, parse_numbers, parse_sizes, seed_option, sizes_option
from rushroad.bench.real.measurements import measure_changes, measure_cost, measure_flood, measure_start
from rushroad.bench.real.rows import CostRow, CounterBytesRow, DemoRow
from rushroad.bench.real.runs import Case, add_fits, add_measured, finish, measure_costs
from rushroad.bench.real.scenario import PEAK_REQUEST_RATE, Scenario
from rushroad.bench.report import Run
from rushroad.bench.rows import ConditionRow, Row

DEFAULT_SIZES = "3/60,101/2000,1010/20000,4900/97000"  # gateways/rate servers, up to the planned fleet size
DEFAULT_RATES = "43,87,173,346"  # requests/s at a gateway, up to twice the planned peak
DEFAULT_TENANTS = "1000,10000,100000,360000"
DEFAULT_LIST_SIZES = "60,2000,20000,97000"
MANY_TENANTS_REQUEST_RATE = 800.0  # requests/s to a gateway; soon reaches many tenants, at under half a core
DEFAULT_FLOODS = "0x1,340x300,1x10000"  # 340: a third of 1,024 descriptors
DEFAULT_BURST = 4_042  # endpoints removed in one message, of 97,000 at the planned fleet size

gateways_option = click.option(
    "--gateways", default=1, show_default=True, help="Real gateways to start; the fleet can be larger."
)
seconds_option = click.option(
    "--seconds", default=10.0, show_default=True, help="Duration of the load for each row."
)
rate_option = click.option(
    "--rate", default=PEAK_REQUEST_RATE, show_default=True, help="Requests/s to each gateway."
)
size_option = click.option("--size", default="101/2000", show_default=True, help="GATEWAYS/SERVERS.")
work_option = click.option("--work-ms", default=20.0, show_default=True, help="Service time of a request.")


def _fleet_condition(size: FleetSize) -> ConditionRow:
    return ConditionRow(fleet=size.gateways, servers=size.rate_servers)


@click.command("demo")
@click.option("--size", default="3/12", show_default=True, help="GATEWAYS/SERVERS; all gateways are started.")
@click.option("--rate", default=50.0, show_default=True, help="Requests/s to each gateway.")
@click.option("--seconds", default=5.0, show_default=True, help="Duration of the load.")
@work_option
@seed_option
@out_option
def demo_command(size: str, rate: float, seconds: float, work_ms: float, seed: int, out: Path | None) -> None:
    """Run a small fleet of real gateways under load for a few seconds."""
    (fleet_size,) = parse_sizes(size)
    scenario = Scenario(fleet_size, fleet_size.gateways, rate, seconds, work_ms=work_ms, seed=seed)
    run = Run("demo", seed, scenario.parameters())
    condition = ConditionRow(gateways=fleet_size.gateways, servers=fleet_size.rate_servers)
    add_measured(run, condition, lambda: _demo_row(measure_cost(scenario, condition)))
    finish(run, out)


def _demo_row(cost: CostRow) -> DemoRow:
    fields = structs.asdict(cost)
    return DemoRow(**{name: fields[name] for name in DemoRow.__struct_fields__})


@click.command("cost-by-servers")
@sizes_option(DEFAULT_SIZES)
@click.option("--changes", default=1.0, show_default=True, help="Changes/s of the endpoint list.")
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
    """Measure CPU time, added latency and memory of a gateway by the size of its fleet."""
    cases = [
        Case(
            _fleet_condition(size),
            Scenario(size, gateways, rate, seconds, work_ms=work_ms, list_changes_per_s=changes, seed=seed),
        )
        for size in parse_sizes(sizes)
    ]
    run = measure_costs("cost-by-servers", cases, seed)
    add_fits(run, "servers", ("cpu_us_request", "added_p50_ms", "idle_core_share", "peak_mb"))
    finish(run, out)


@click.command("cost-by-rate")
@click.option(
    "--rates", default=DEFAULT_RATES, show_default=True, help="Requests/s to each gateway, comma-separated."
)
@size_option
@seconds_option
@work_option
@gateways_option
@seed_option
@out_option
def cost_by_rate_command(
    rates: str, size: str, seconds: float, work_ms: float, gateways: int, seed: int, out: Path | None
) -> None:
    """Measure CPU time and added latency of a gateway by its request rate."""
    (fleet_size,) = parse_sizes(size)
    scenario = Scenario(fleet_size, gateways, seconds=seconds, work_ms=work_ms, seed=seed)
    cases = [
        Case(ConditionRow(rate=rate), replace(scenario, request_rate=rate)) for rate in parse_numbers(rates)
    ]
    run = measure_costs("cost-by-rate", cases, seed)
    add_fits(run, "rate", ("core_share", "added_p50_ms"))
    finish(run, out)


@click.command("cost-by-tenants")
@click.option(
    "--tenants", default=DEFAULT_TENANTS, show_default=True, help="Numbers of tenants, comma-separated."
)
@size_option
@click.option(
    "--rate", default=MANY_TENANTS_REQUEST_RATE, show_default=True, help="Requests/s to each gateway."
)
@click.option("--seconds", default=30.0, show_default=True, help="Duration of the load for each row.")
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
    """Measure CPU time and memory of a gateway by the number of tenants.

    The column `tenants_seen` is the number of tenants that sent a request. Where there are more tenants than
    requests (rate x seconds), most of these tenants send only one.
    """
    (fleet_size,) = parse_sizes(size)
    scenario = Scenario(fleet_size, gateways, rate, seconds, work_ms=work_ms, seed=seed)
    counts = [int(count) for count in parse_numbers(tenants)]
    cases = [Case(ConditionRow(tenants=count), replace(scenario, tenants=count)) for count in counts]
    run = measure_costs("cost-by-tenants", cases, seed)
    add_fits(run, "tenants_seen", ("cpu_us_request", "peak_mb"))
    finish(run, out)


@click.command("whole-list")
@click.option(
    "--servers",
    default=DEFAULT_LIST_SIZES,
    show_default=True,
    help="Sizes of the endpoint list, comma-separated.",
)
@click.option("--fleet", default=4_900, show_default=True, help="Size of the fleet in the settings.")
@seed_option
@out_option
def whole_list_command(servers: str, fleet: int, seed: int, out: Path | None) -> None:
    """Measure start time and peak memory by the size and source of the endpoint list.

    The source is the configuration (`known`), or discovery with compact or indented JSON. The times are from
    the start of the process to the first PONG and to the first request served.
    """
    run = Run("whole-list", seed, {"servers": servers, "fleet": fleet})
    for count in parse_numbers(servers):
        from_discovery = Scenario(
            parse_fleet_size(f"{fleet}/{int(count)}"), has_cached_snapshot=False, work_ms=0.0, seed=seed
        )
        for source, scenario in (
            ("known", replace(from_discovery, has_cached_snapshot=True)),
            ("compact", from_discovery),
            ("indented", replace(from_discovery, list_indent=1)),
        ):
            condition = ConditionRow(servers=int(count), source=source)
            add_measured(run, condition, partial(measure_start, scenario, condition))
    finish(run, out)


@click.command("changes")
@sizes_option(DEFAULT_SIZES)
@click.option(
    "--burst",
    default=DEFAULT_BURST,
    show_default=True,
    help="Endpoints removed in one message, up to half of the list.",
)
@rate_option
@work_option
@seed_option
@out_option
def changes_command(sizes: str, burst: int, rate: float, work_ms: float, seed: int, out: Path | None) -> None:
    """Measure the longest stall and late attempts as one endpoint is removed, then a burst."""
    run = Run("changes", seed, {"sizes": sizes, "burst": burst, "rate": rate, "work_ms": work_ms})
    for size in parse_sizes(sizes):
        scenario, condition = (
            Scenario(size, request_rate=rate, work_ms=work_ms, seed=seed),
            _fleet_condition(size),
        )
        add_measured(run, condition, partial(measure_changes, scenario, burst, condition))
    finish(run, out)


@click.command("counter-bytes")
@sizes_option(DEFAULT_SIZES)
@rate_option
@seconds_option
@seed_option
@out_option
def counter_bytes_command(sizes: str, rate: float, seconds: float, seed: int, out: Path | None) -> None:
    """Measure calls to the counter, and their bytes in both directions, per request."""
    cases = [
        Case(_fleet_condition(size), Scenario(size, request_rate=rate, seconds=seconds, seed=seed))
        for size in parse_sizes(sizes)
    ]
    run = measure_costs("counter-bytes", cases, seed)
    run.rows = [_counter_bytes_row(row) for row in run.rows]
    finish(run, out)


@click.command("flood")
@click.option(
    "--floods", default=DEFAULT_FLOODS, show_default=True, help="CONNECTIONSxCOMMANDS, comma-separated."
)
@click.option(
    "--flood-tenants",
    default=40,
    show_default=True,
    help="Tenants of the flooding clients; 0: a new one in each command.",
)
@size_option
@click.option("--rate", default=20.0, show_default=True, help="Usual requests/s.")
@seconds_option
@click.option("--work-ms", default=80.0, show_default=True, help="Service time of a request.")
@seed_option
@out_option
def flood_command(
    floods: str,
    flood_tenants: int,
    size: str,
    rate: float,
    seconds: float,
    work_ms: float,
    seed: int,
    out: Path | None,
) -> None:
    """Measure usual requests beside clients that send many commands at once, and the next once answered."""
    (fleet_size,) = parse_sizes(size)
    scenario = Scenario(fleet_size, request_rate=rate, seconds=seconds, work_ms=work_ms, seed=seed)
    run = Run("flood", seed, {**scenario.parameters(), "flood_tenants": flood_tenants})
    for flood in _parse_floods(floods):
        condition = ConditionRow(flood=str(flood))
        add_measured(run, condition, partial(measure_flood, scenario, flood, flood_tenants, condition))
    finish(run, out)


def _parse_floods(text: str) -> list[FloodSize]:
    try:
        return [parse_flood_size(part) for part in text.split(",")]
    except ValueError as error:
        raise click.BadParameter(str(error)) from None


def _counter_bytes_row(row: Row) -> Row:
    if not isinstance(row, CostRow):
        return row
    fields = structs.asdict(row)
    return CounterBytesRow(**{name: fields[name] for name in CounterBytesRow.__struct_fields__})


COMMANDS = (
    demo_command,
    cost_by_servers_command,
    cost_by_rate_command,
    cost_by_tenants_command,
    whole_list_command,
    changes_command,
    counter_bytes_command,
    flood_command,
)
