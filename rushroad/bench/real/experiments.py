"""Experiments on real gateways before stand-ins on loopback: what they cost, and how long they stall."""

from __future__ import annotations

import contextlib
import signal
import sys
import tempfile
from collections.abc import Callable, Iterator, Sequence
from dataclasses import asdict, dataclass, replace
from pathlib import Path
from typing import Any

import click
import structlog

from rushroad.bench.load import OUTCOMES, SERVED
from rushroad.bench.real.gateway_processes import CLASS, PLAN, Peers, RealFleet, time_limit
from rushroad.bench.report import Cell, Run, fit
from rushroad.bench.simulated.experiments import out_option, seed_option, sizes_of
from rushroad.bench.simulated.fleet import Size, size_of
from rushroad.bench.stand_ins.discovery import entry
from rushroad.bench.stand_ins.rate_servers import server_address
from rushroad.bench.worker import Worker

SIZES = "3/60,101/2000,1010/20000,4900/97000"  # gateways/servers, up to the coming size
RATES = "43,87,173,346"  # requests a second at a gateway, to twice the coming peak
TENANTS = "1000,10000,100000,360000"
SERVERS = "60,2000,20000,97000"
PEAK_RATE = 173.0  # requests a second at a gateway at the coming peak
MANY_RATE = 800.0  # requests a second at a gateway: under half of a core, and many tenants in a short time
SPREAD = 3  # gateways that a tenant comes through, where the fleet has so many
PATIENCE_MS = 10_000  # of a client for a request; the class's deadline
SETTLE_S = 1.0  # seconds after the start before anything is measured
SERVING_S = 20.0  # seconds in which a gateway that answers PING must serve
AFTER_S = 2.0  # seconds after a change in which stalls and late attempts are looked for
BURST = 4_042  # entries gone in one message: of the coming list's 97,000
MEGABYTE = 1_000_000
TIME_LIMIT_S = 240.0  # of one scene
log = structlog.wrap_logger(structlog.PrintLogger(sys.stderr))


@dataclass(frozen=True, slots=True)
class Scene:
    """What one row is measured on.

    `gateways` real ones are started, the first of a fleet of `size.gateways`: a fleet's size is in their
    settings, and how many run here is what the machine holds. `rate` is requests a second at each.
    """

    size: Size
    gateways: int = 1
    rate: float = PEAK_RATE
    seconds: float = 10.0
    tenants: int = 1_000
    work_ms: float = 20.0  # of a rate server on a request
    changes: float = 0.0  # of the list, a second
    indent: int | None = None  # of discovery's JSON
    known: bool = True  # the list is in the configuration; else discovery tells all of it
    seed: int = 1

    def parameters(self) -> dict[str, Any]:
        """As the run's record holds them."""
        return asdict(self) | {"size": str(self.size)}


class Bench:
    """The processes of a scene while they run."""

    def __init__(self, scene: Scene, stand_ins: Worker, clients: Worker, fleet: RealFleet) -> None:
        self.scene, self.stand_ins, self.clients, self.fleet = scene, stand_ins, clients, fleet

    def figures(self) -> dict[str, dict[str, int]]:
        """What has come to the stand-ins until now."""
        return self.stand_ins.order({"do": "figures"})

    def load_order(self, seconds: float) -> dict[str, Any]:
        """The order for the scene's requests over so many seconds."""
        scene, fleet = self.scene, self.fleet
        rate = scene.rate * len(fleet.gateways)
        return {
            "do": "load",
            "gateways": [gateway.address for gateway in fleet.gateways],
            "numbers": [gateway.number for gateway in fleet.gateways],
            "rate": rate,
            "count": max(1, round(rate * seconds)),
            "tenants": scene.tenants,
            "fleet": scene.size.gateways,
            "spread": min(SPREAD, scene.size.gateways),
            "patience_ms": PATIENCE_MS,
            "cls": CLASS,
            "plan": PLAN,
            "seed": scene.seed,
        }


@contextlib.contextmanager
def ended_in_order() -> Iterator[None]:
    """SIGTERM ends what runs inside as Ctrl-C does: by leaving its blocks, which end all processes."""

    def stop(*_: object) -> None:
        raise SystemExit(128 + signal.SIGTERM)

    before = signal.signal(signal.SIGTERM, stop)
    try:
        yield
    finally:
        signal.signal(signal.SIGTERM, before)


@contextlib.contextmanager
def bench(scene: Scene) -> Iterator[Bench]:
    """Stand-ins, clients and gateways that answer PING; all are gone when it is left, whatever happened."""
    log.info("start", **scene.parameters())
    with (
        ended_in_order(),
        time_limit(TIME_LIMIT_S + scene.seconds),
        tempfile.TemporaryDirectory(prefix="rushroad-bench-") as folder,
        Worker("rushroad.bench.stand_ins") as stand_ins,
        Worker("rushroad.bench.load") as clients,
    ):
        at = stand_ins.order(
            {
                "servers": scene.size.servers,
                "work_s": scene.work_ms / 1e3,
                "reports": True,
                "shards": 1,
                "indent": scene.indent,
                "seed": scene.seed,
            }
        )
        peers = Peers(at["discovery"], at["counter"])
        port = int(at["first_server"].rpartition(":")[2])
        listed = range(scene.size.servers if scene.known else 0)
        known = {
            "generation": int(scene.known),
            "reset": True,
            "instances": [entry(number, server_address(number, port)) for number in listed],
        }
        with RealFleet(scene.gateways, scene.size.gateways, peers, known, Path(folder)) as fleet:
            yield Bench(scene, stand_ins, clients, fleet)


def measure(scene: Scene) -> dict[str, Cell]:
    """One scene's row: first the gateways without requests, then with them."""
    with bench(scene) as now:
        ready = max(now.fleet.wait_ready())
        now.fleet.wait(SETTLE_S)
        now.stand_ins.order({"do": "roll", "per_s": scene.changes})
        idle_s = min(5.0, scene.seconds)
        began = now.fleet.cpu()
        now.fleet.wait(idle_s)
        idle = (now.fleet.cpu() - began) / idle_s / scene.gateways
        figures, began = now.figures(), now.fleet.cpu()
        now.clients.begin(now.load_order(scene.seconds))
        now.fleet.wait(scene.seconds)
        result = now.clients.answer()
        cpu, after = now.fleet.cpu() - began, now.figures()
        row = _outcomes(result)
        count = row["requests"]
        assert isinstance(count, int)
        return (
            row
            | _spent(figures, after, count)
            | {
                "cpu_us_request": cpu / count * 1e6,
                "core_share": cpu / result["seconds"] / scene.gateways,
                "idle_core_share": idle,
                "ready_s": ready,
                "peak_mb": now.fleet.peak_memory() / MEGABYTE,
            }
        )


def _outcomes(result: dict[str, Any]) -> dict[str, Cell]:
    counts: dict[str, Cell] = {name: result[name] for name in OUTCOMES}
    requests = sum(result[name] for name in counts)
    row: dict[str, Cell] = {"requests": requests, **counts, "tenants_seen": result["tenants_seen"]}
    for name in ("latency", "added") if result[SERVED] else ():
        row |= {f"{name}_{label}_ms": us / 1e3 for label, us in result[name].items()}
    return row


def _spent(before: dict[str, Any], after: dict[str, Any], requests: int) -> dict[str, Cell]:
    """What came to the stand-ins meanwhile, most of it a request."""

    def more(who: str, what: str) -> int:
        return int(after[who].get(what, 0)) - int(before[who].get(what, 0))

    counter_bytes = more("counter", "bytes_in") + more("counter", "bytes_out")
    return {
        "attempts": more("servers", "attempts"),
        "late_attempts": more("servers", "late"),
        "syntax": more("servers", "syntax"),
        "changes": more("discovery", "changes"),
        "connects_request": more("servers", "connects") / requests,
        "calls_request": more("counter", "calls") / requests,
        "bytes_request": counter_bytes / requests,
    }


def measure_list(scene: Scene) -> dict[str, Cell]:
    """How long a start takes with a list of this size, and the memory that it takes at the most."""
    with bench(scene) as now:
        (ready,) = now.fleet.wait_ready()
        serving = now.fleet.gateways[0].wait_serving(SERVING_S)
        now.fleet.wait(SETTLE_S)
        return {
            "ready_s": ready,
            "serving_s": "never" if serving is None else serving,
            "cpu_s": now.fleet.cpu(),
            "peak_mb": now.fleet.peak_memory() / MEGABYTE,
        }


def measure_changes(scene: Scene, burst: int, after: float = AFTER_S) -> dict[str, Cell]:
    """The longest stall without a change, at one entry gone and at a burst in one message, under load.

    `after`: seconds for which each is looked at; the bound on late attempts needs more than LATE.
    """
    burst = min(burst, scene.size.servers // 2)
    with bench(scene) as now, Worker("rushroad.bench.load") as pings:
        now.fleet.wait_ready()
        now.fleet.wait(SETTLE_S)
        pings.order({"do": "ping", "gateway": now.fleet.gateways[0].address})
        now.clients.begin(now.load_order(4 * after))
        row: dict[str, Cell] = {"burst": burst}
        before = now.figures()
        for name, count in (("quiet", 0), ("one", 1), ("burst", burst)):
            pings.order({"do": "stall"})
            began = now.fleet.cpu()
            if count:
                row[f"used_gone_{name}"] = now.stand_ins.order({"do": "remove", "count": count})["used"]
            now.fleet.wait(after)
            row[f"stall_{name}_ms"] = pings.order({"do": "stall"})["longest_s"] * 1e3
            row[f"cpu_{name}_s"] = now.fleet.cpu() - began
        result = now.clients.answer()
        outcomes = _outcomes(result)
        spent = _spent(before, now.figures(), 1)
        kept = ("requests", *OUTCOMES)
        return (
            row
            | {name: outcomes[name] for name in kept}
            | {
                "attempts": spent["attempts"],
                "late_attempts": spent["late_attempts"],
                "peak_mb": now.fleet.peak_memory() / MEGABYTE,
            }
        )


def add_row(run: Run, named: dict[str, Cell], measured: Callable[[], dict[str, Cell]]) -> bool:
    """Add a scene's row; one that could not be measured is told as such. True where it was."""
    try:
        run.add(named | measured())
    except (RuntimeError, OSError) as wrong:
        log.error("not measured", error=str(wrong), **named)
        run.add({**named, "error": str(wrong)[:200]})
        return False
    log.info("measured", **run.rows[-1])
    return True


def add_fit(run: Run, x: str, y: str) -> None:
    """Add the line through a run's points, where there are two or more.

    Rows with lost requests are no points: what these would have cost is not known.
    """
    points = [(float(row[x]), float(row[y])) for row in run.rows if y in row and not row.get("lost")]
    if len({at for at, _ in points}) > 1:
        line = fit(points)
        run.add({"fit": f"{y} by {x}", "slope": line.slope, "at_0": line.intercept, "r2": line.r2})


# --- commands -------------------------------------------------------------------------------------------


def finish(run: Run, out: Path | None, good: bool) -> None:
    """Print the table, and the line of JSON to the file or behind the table; 1 where a row is missing."""
    if out is None:
        run.finish(sys.stdout)
    else:
        with out.open("a") as file:
            run.finish(file)
    if not good:
        raise SystemExit(1)


def _numbers(text: str) -> list[float]:
    try:
        numbers = [float(part) for part in text.split(",")]
    except ValueError as wrong:
        raise click.BadParameter(str(wrong)) from None
    if not all(number > 0 for number in numbers):
        raise click.BadParameter("numbers above 0, with commas between them")
    return numbers


def by_scene(experiment: str, scenes: Sequence[tuple[dict[str, Cell], Scene]], seed: int) -> tuple[Run, bool]:
    """A run with one row a scene; each row begins with what is varied."""
    run = Run(experiment, seed, scenes[0][1].parameters())
    good = True
    for named, scene in scenes:
        good &= add_row(run, named, lambda scene=scene: measure(scene))  # type: ignore[misc]
    return run, good


gateways_option = click.option(
    "--gateways", default=1, show_default=True, help="Real ones; the fleet's size is in their settings."
)
seconds_option = click.option("--seconds", default=10.0, show_default=True, help="Of requests, for each row.")
rate_option = click.option("--rate", default=PEAK_RATE, show_default=True, help="Requests/s at each gateway.")
size_option = click.option("--size", default="101/2000", show_default=True, help="GATEWAYS/SERVERS.")
work_option = click.option("--work-ms", default=20.0, show_default=True, help="Of a server on a request.")


@click.command("demo")
@click.option("--size", default="3/12", show_default=True, help="GATEWAYS/SERVERS; all gateways are real.")
@click.option("--rate", default=50.0, show_default=True, help="Requests/s at each gateway.")
@click.option("--seconds", default=5.0, show_default=True, help="Of requests.")
@work_option
@seed_option
@out_option
def demo_command(size: str, rate: float, seconds: float, work_ms: float, seed: int, out: Path | None) -> None:
    """A small fleet of real gateways under load for a few seconds."""
    (sized,) = sizes_of(size)
    scene = Scene(sized, sized.gateways, rate, seconds, work_ms=work_ms, seed=seed)
    run = Run("demo", seed, scene.parameters())
    percentiles = ("latency_p50_ms", "latency_p99_ms", "added_p50_ms", "added_p99_ms")
    shown = ("requests", *OUTCOMES, "attempts", *percentiles)

    def short() -> dict[str, Cell]:
        row = measure(scene)
        return {name: row[name] for name in shown if name in row}

    finish(run, out, add_row(run, {"gateways": sized.gateways, "servers": sized.servers}, short))


@click.command("cost-by-servers")
@click.option("--sizes", default=SIZES, show_default=True, help="GATEWAYS/SERVERS,...")
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
    scenes: list[tuple[dict[str, Cell], Scene]] = [
        (
            {"fleet": size.gateways, "servers": size.servers},
            Scene(size, gateways, rate, seconds, work_ms=work_ms, changes=changes, seed=seed),
        )
        for size in sizes_of(sizes)
    ]
    run, good = by_scene("cost-by-servers", scenes, seed)
    for figure in ("cpu_us_request", "added_p50_ms", "idle_core_share", "peak_mb"):
        add_fit(run, "servers", figure)
    finish(run, out, good)


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
    (sized,) = sizes_of(size)
    scene = Scene(sized, gateways, seconds=seconds, work_ms=work_ms, seed=seed)
    scenes: list[tuple[dict[str, Cell], Scene]] = [
        ({"rate": rate}, replace(scene, rate=rate)) for rate in _numbers(rates)
    ]
    run, good = by_scene("cost-by-rate", scenes, seed)
    add_fit(run, "rate", "core_share")
    add_fit(run, "rate", "added_p50_ms")
    finish(run, out, good)


@click.command("cost-by-tenants")
@click.option("--tenants", default=TENANTS, show_default=True, help="Tenants, with commas.")
@size_option
@click.option("--rate", default=MANY_RATE, show_default=True, help="Requests/s at each gateway.")
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
    """Processor time and memory of a gateway by the tenants that its requests are of.

    How many of them it met is in `tenants_seen`: with more than rate x seconds, each comes about once.
    """
    (sized,) = sizes_of(size)
    scene = Scene(sized, gateways, rate, seconds, work_ms=work_ms, seed=seed)
    scenes: list[tuple[dict[str, Cell], Scene]] = [
        ({"tenants": int(number)}, replace(scene, tenants=int(number))) for number in _numbers(tenants)
    ]
    run, good = by_scene("cost-by-tenants", scenes, seed)
    add_fit(run, "tenants_seen", "cpu_us_request")
    add_fit(run, "tenants_seen", "peak_mb")
    finish(run, out, good)


@click.command("whole-list")
@click.option("--servers", default=SERVERS, show_default=True, help="Entries of the list, with commas.")
@click.option("--fleet", default=4_900, show_default=True, help="Gateways, as the settings tell.")
@seed_option
@out_option
def whole_list_command(servers: str, fleet: int, seed: int, out: Path | None) -> None:
    """From the start to the first PONG and the first request served, by the list; and peak memory."""
    run = Run("whole-list", seed, {"servers": servers, "fleet": fleet})
    good = True
    for count in _numbers(servers):
        size = size_of(f"{fleet}/{int(count)}")
        for source, known, indent in (
            ("known", True, None),
            ("compact", False, None),
            ("indented", False, 1),
        ):
            scene = Scene(size, known=known, indent=indent, work_ms=0.0, seed=seed)
            named: dict[str, Cell] = {"servers": int(count), "source": source}
            good &= add_row(run, named, lambda scene=scene: measure_list(scene))  # type: ignore[misc]
    finish(run, out, good)


@click.command("changes")
@click.option("--sizes", default=SIZES, show_default=True, help="GATEWAYS/SERVERS,...")
@click.option("--burst", default=BURST, show_default=True, help="Entries gone in one message; half at most.")
@rate_option
@work_option
@seed_option
@out_option
def changes_command(sizes: str, burst: int, rate: float, work_ms: float, seed: int, out: Path | None) -> None:
    """The longest stall, by PINGs, at one entry gone and at a burst; attempts to what was gone before."""
    run = Run("changes", seed, {"sizes": sizes, "burst": burst, "rate": rate, "work_ms": work_ms})
    good = True
    for size in sizes_of(sizes):
        scene = Scene(size, rate=rate, work_ms=work_ms, seed=seed)
        named: dict[str, Cell] = {"fleet": size.gateways, "servers": size.servers}
        good &= add_row(run, named, lambda scene=scene: measure_changes(scene, burst))  # type: ignore[misc]
    good &= all(not row.get("late_attempts") for row in run.rows)
    finish(run, out, good)


@click.command("counter-bytes")
@click.option("--sizes", default=SIZES, show_default=True, help="GATEWAYS/SERVERS,...")
@rate_option
@seconds_option
@seed_option
@out_option
def counter_bytes_command(sizes: str, rate: float, seconds: float, seed: int, out: Path | None) -> None:
    """Calls and bytes to the counter and back, for each request."""
    shown = ("requests", SERVED, "calls_request", "bytes_request")
    scenes: list[tuple[dict[str, Cell], Scene]] = [
        (
            {"fleet": size.gateways, "servers": size.servers},
            Scene(size, rate=rate, seconds=seconds, seed=seed),
        )
        for size in sizes_of(sizes)
    ]
    run, good = by_scene("counter-bytes", scenes, seed)
    run.rows = [
        {name: cell for name, cell in row.items() if name in ("fleet", "servers", "error", *shown)}
        for row in run.rows
    ]
    finish(run, out, good)


COMMANDS = (
    demo_command,
    cost_by_servers_command,
    cost_by_rate_command,
    cost_by_tenants_command,
    whole_list_command,
    changes_command,
    counter_bytes_command,
)
