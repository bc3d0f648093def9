"""Experiments on hollow fleets: what the decision module costs and does at any size, on a virtual clock."""

from __future__ import annotations

import gc
import subprocess
import sys
import time
import tracemalloc
from collections.abc import Callable, Sequence
from dataclasses import replace
from pathlib import Path
from random import Random
from statistics import fmean

import click
import xxhash
from msgspec import structs

from rushroad.bench.report import Cell, Run, fit
from rushroad.bench.simulated.fleet import (
    CELL,
    SECOND,
    SETTINGS,
    START,
    ZONES,
    CountingGateway,
    Fleet,
    Holders,
    Size,
    server_name,
    size_of,
)
from rushroad.policy.actions import SetTimer
from rushroad.policy.events import Endpoint, EndpointState, EndpointUpdate, TimerFired, UpdateKind
from rushroad.policy.gateway import Gateway
from rushroad.policy.subsetting import mean_replicas, replicas_of

SIZES_COST = "3/40,200/40,30/200,200/200,100/2000,400/8000,4900/97000"
SIZES_SPREAD = "10/40,30/12,200/200,400/2000,1000/20000,4900/97000"
SIZES_FLEET = "30/12,200/200,1000/20000,4900/97000"
WARM_UP = 10 * SECOND  # until every gateway knows its servers and the means have settled
DOWN = 3 * SECOND  # a gateway's restart; the operators saw 1.1 to 7.6 s
AFTER = 10 * SECOND  # what is looked at when a trouble is over
SILENT = 2 * SECOND  # until the list hears of a lost zone
AWAY = 14 * SECOND  # of a lost zone in all; the operators saw a room cut off for up to so long
WATCHED = 8  # servers of a lost zone whose gateways are all emulated, where not all can be
RESTART_PATIENCE = 120  # seconds; the subsets of the full size take some
WARM_PART = 0.2  # of the requests; they come first and are not counted
COUNTED = 100  # requests over which the servers looked at are counted: chance changes little in them
DELTA = 100  # entries changed one by one, and then once all in one message
SLICE = SECOND // 10  # of the virtual clock, between looks at the processor time that is left
MEGABYTE = 1_000_000
MOST = 60  # gateways that are emulated whole: minutes of work for all sizes

Command = Callable[..., None]


def sizes_of(texts: str) -> list[Size]:
    """Sizes from "GATEWAYS/SERVERS,..."; the error that click shows where one is none."""
    try:
        return [size_of(text) for text in texts.split(",")]
    except ValueError as wrong:
        raise click.BadParameter(f"sizes are GATEWAYS/SERVERS,...: {wrong}") from None


# --- module-cost ----------------------------------------------------------------------------------------


def module_cost(sizes: Sequence[Size], requests: int, patience: float, seed: int) -> Run:
    """What one gateway of each fleet spends in its module, before servers that all answer well.

    `patience` is the processor time in seconds after which a size's requests end early; its row tells how
    many there were.
    """
    names = [str(size) for size in sizes]
    run = Run("module-cost", seed, {"sizes": names, "requests": requests, "patience": patience})
    points = []
    for size in sizes:
        fleet = Fleet(size, seed, sample=[0])
        asked, cost = _request_cost(fleet, requests, patience)
        points.append((float(size.servers), cost))
        run.add(
            {
                "gateways": size.gateways,
                "servers": size.servers,
                "requests": asked,
                "us_request": cost,
                "looked_at": _looked_at(size, seed, min(COUNTED, asked)),
                **_change_cost(fleet),
                **_list_cost(size),
            }
        )
    if len({servers for servers, _ in points}) > 1:
        line = fit(points)
        run.add({"fit": "us_request by servers", "slope": line.slope, "at_0": line.intercept, "r2": line.r2})
    return run


def _request_cost(fleet: Fleet, requests: int, patience: float) -> tuple[int, float]:
    """Requests, and microseconds for one."""
    gateway = fleet.gateways[0]
    fleet.run(int(WARM_PART * requests / fleet.size.rate * SECOND))
    began, end = gateway.cpu, fleet.now + int(requests / fleet.size.rate * SECOND)
    before = fleet.asked()
    while fleet.now < end and gateway.cpu - began < patience * 1e9:
        fleet.run(SLICE)
    asked = fleet.asked() - before
    return asked, (gateway.cpu - began) / 1e3 / max(1, asked)


def _looked_at(size: Size, seed: int, requests: int) -> float:
    """Servers that the choice for a request looks at in the mean."""
    fleet = Fleet(size, seed, sample=[0], module=CountingGateway)
    module = fleet.gateways[0].module
    assert isinstance(module, CountingGateway)
    fleet.run(int(requests / size.rate * SECOND))
    return module.looked / max(1, fleet.asked())


def _change_cost(fleet: Fleet) -> dict[str, Cell]:
    """Entries that have started anew: one a message, then all in one."""
    gateway, lines = fleet.gateways[0], list(fleet.listed.values())[:DELTA]
    began = gateway.cpu
    for line in lines:
        gateway.tell([structs.replace(line, started_at=fleet.now)])
    alone = gateway.cpu - began
    gateway.tell([structs.replace(line, started_at=fleet.now + 1) for line in lines])
    together = gateway.cpu - began - alone
    return {"us_change": alone / 1e3 / len(lines), "us_change_in_100": together / 1e3 / len(lines)}


def _list_cost(size: Size) -> dict[str, Cell]:
    """A whole list, as a new gateway takes it: processor time and what it holds from then on."""
    began = time.thread_time_ns()
    _take_list(size, _lines(size))
    took = time.thread_time_ns() - began
    gc.collect()
    tracemalloc.start()
    gateway = _take_list(size, _lines(size))
    gc.collect()
    held, most = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del gateway
    return {"list_ms": took / 1e6, "list_held_mb": held / MEGABYTE, "list_peak_mb": most / MEGABYTE}


def _lines(size: Size) -> tuple[Endpoint, ...]:
    return tuple(
        Endpoint(
            server_name(n),
            EndpointState.READY,
            endpoint_class=n % 2,
            zone=n % ZONES,
            cell=n // (ZONES * CELL),
        )
        for n in range(size.servers)
    )


def _take_list(size: Size, lines: tuple[Endpoint, ...]) -> Gateway:
    gateway, now = Gateway(replace(SETTINGS, fleet_size=size.gateways), 1, START), START
    actions = gateway.handle(now, EndpointUpdate(UpdateKind.CACHED_SNAPSHOT, 1, lines))
    while timers := [action for action in actions if isinstance(action, SetTimer)]:
        now += max(SETTINGS.tick, timers[0].delay)
        actions = gateway.handle(now, TimerFired(timers[0].token))
    return gateway


# --- spread ---------------------------------------------------------------------------------------------


def holders_of(size: Size) -> Holders:
    """The gateways that may send to a server, by its name, in a fleet of this size."""
    share = mean_replicas(size.gateways, size.servers)
    if share >= size.gateways:
        return lambda name: range(size.gateways)
    return lambda name: replicas_of(name, size.gateways, share)


def subsets(gateways: int, names: Sequence[str]) -> list[set[str]]:
    """The servers that each gateway may send to, by its index."""
    holders, found = holders_of(Size(gateways, len(names), 0.0)), [set[str]() for _ in range(gateways)]
    for name in names:
        for index in holders(name):
            found[index].add(name)
    return found


def spread(sizes: Sequence[Size], seed: int) -> Run:
    """How evenly the subsets of a whole fleet fall, and what changes in them; no gateway is emulated."""
    run = Run("spread", seed, {"sizes": [str(size) for size in sizes]})
    for size in sizes:
        names = [server_name(number) for number in range(size.servers + 1)]
        here = subsets(size.gateways, names[:-1])
        lengths = [len(servers) for servers in here]
        shares, parts = [0] * size.servers, [0.0] * size.servers
        numbers = {name: number for number, name in enumerate(names)}
        for servers in here:
            for name in servers:
                shares[numbers[name]] += 1
                parts[numbers[name]] += 1.0 / len(servers)
        mean = size.gateways / size.servers  # of the parts: each gateway hands out one
        run.add(
            {
                "gateways": size.gateways,
                "servers": size.servers,
                **_span("gateways_a_server", shares),
                **_span("servers_a_gateway", lengths),
                "load_least": min(parts) / mean,
                "load_most": max(parts) / mean,
                **_changes("join", here, subsets(size.gateways, names)),
                **_changes("leave", here, subsets(size.gateways, names[1:-1])),
                "same_after_restart": int(_digest(here) == _digest_elsewhere(size)),
                **_next_step(size, here),
            }
        )
    return run


def _span(what: str, counts: Sequence[int]) -> dict[str, Cell]:
    return {f"{what}_min": min(counts), f"{what}_mean": fmean(counts), f"{what}_max": max(counts)}


def _changes(what: str, before: Sequence[set[str]], after: Sequence[set[str]]) -> dict[str, Cell]:
    """Subsets that a change of the list changes, and by how many members at the most."""
    members = [len(old ^ new) for old, new in zip(before, after, strict=True)]
    return {f"{what}_subsets": sum(map(bool, members)), f"{what}_members_max": max(members)}


def _next_step(size: Size, here: Sequence[set[str]]) -> dict[str, Cell]:
    """The next smaller list at which some servers have one gateway more, and what that changes.

    The servers that stay are the same: only members that come or go with the share count. 0: there is none.
    """
    share, servers = mean_replicas(size.gateways, size.servers), size.servers - 1
    while servers > 0 and mean_replicas(size.gateways, servers) == share:
        servers -= 1
    if servers <= 0:
        return {"step_at_servers": 0, "step_members_mean": 0.0}
    stay = [server_name(number) for number in range(servers)]
    there, known = subsets(size.gateways, stay), set(stay)
    moved = fmean(len((old & known) ^ new) for old, new in zip(here, there, strict=True))
    return {"step_at_servers": servers, "step_members_mean": moved}


def _digest(found: Sequence[set[str]]) -> str:
    return xxhash.xxh3_64_hexdigest("|".join(",".join(sorted(servers)) for servers in found).encode())


def subsets_digest(gateways: int, servers: int) -> str:
    """A digest of all subsets of such a fleet, to compare between processes."""
    return _digest(subsets(gateways, [server_name(number) for number in range(servers)]))


def _digest_elsewhere(size: Size) -> str:
    """The digest from a new process, whose hashes of strings are other ones."""
    code = f"from {__name__} import subsets_digest; print(subsets_digest({size.gateways}, {size.servers}))"
    words = [sys.executable, "-c", code]
    done = subprocess.run(words, capture_output=True, text=True, timeout=RESTART_PATIENCE, check=True)
    return done.stdout.strip()


# --- cold-fleet -----------------------------------------------------------------------------------------


def cold_fleet(sizes: Sequence[Size], trials: int, most: int, seed: int) -> Run:
    """One server joins cold; what it gets in each span in which it may fall. A server that fell stays down.

    Fleets of more than `most` gateways: those that share the cold server are emulated, all of them.
    """
    run = Run("cold-fleet", seed, {"sizes": [str(s) for s in sizes], "trials": trials, "most": most})
    for size in sizes:
        seen = [_one_cold(size, most, seed + trial) for trial in range(trials)]
        span = SETTINGS.safety.overload_window
        for window in range(SETTINGS.safety.warm_up_time // span):  # the whole ones
            inside = [[a for a in attempts if a[0] // span == window] for _, attempts, _ in seen]
            flat = [a for attempts in inside for a in attempts]
            run.add(
                {
                    "size": str(size),
                    "from_s": window * span / SECOND,
                    "attempts_mean": len(flat) / trials,
                    "attempts_max": max(map(len, inside)),
                    "bears_mean": fmean(a[2] for a in flat) if flat else 0.0,
                    "nearest": max((a[1] / a[2] for a in flat), default=0.0),
                }
            )
        run.add(
            {
                "size": str(size),
                "trials": trials,
                "emulated": seen[0][2],
                "sharers": len(holders_of(_one_more(size))(server_name(size.servers))),
                "falls": sum(falls for falls, _, _ in seen),
                "nearest": max((a[1] / a[2] for _, attempts, _ in seen for a in attempts), default=0.0),
            }
        )
    return run


def _one_more(size: Size) -> Size:
    return replace(size, servers=size.servers + 1)


def _one_cold(size: Size, most: int, seed: int) -> tuple[int, list[tuple[int, int, float]], int]:
    """Falls; age, attempts over the last fall span and those allowed, at each attempt; gateways emulated."""
    holders = holders_of(_one_more(size))
    sample = None if size.gateways <= most else sorted(holders(server_name(size.servers)))
    fleet = Fleet(size, seed, sample=sample)
    if sample is not None:
        fleet.start_background(holders)
    fleet.run(WARM_UP)
    server = fleet.join()
    fleet.tell([server.member()])
    fleet.run(SETTINGS.safety.warm_up_time)
    return server.falls, server.cold_attempts, len(fleet.gateways)


# --- restart-tenth --------------------------------------------------------------------------------------


def restart_tenth(sizes: Sequence[Size], most: int, seed: int) -> Run:
    """A tenth of the gateways dies at once and is back after a while; figures a second of each phase.

    Fleets of more than `most` gateways: so many of them, by chance. The others do not restart then.
    """
    run = Run("restart-tenth", seed, {"sizes": [str(s) for s in sizes], "most": most})
    for size in sizes:
        sample = sorted(Random(seed).sample(range(size.gateways), min(most, size.gateways)))
        fleet = Fleet(size, seed, sample=sample)
        fleet.start_background(holders_of(size))
        fleet.run(WARM_UP)
        gone = fleet.random.sample(list(fleet.gateways.values()), max(1, len(sample) // 10))
        for gateway in gone:
            gateway.end()
        fleet.run(DOWN)
        for gateway in gone:
            gateway.start()
        fleet.run(AFTER)
        back = (WARM_UP + DOWN) // SECOND
        phases = (
            ("before", back // 2, WARM_UP // SECOND),
            ("down", WARM_UP // SECOND, back),
            ("back, first 2 s", back, back + 2),
            ("after", back + 2, fleet.second()),
        )
        for name, since, until in phases:
            run.add(
                {
                    "size": str(size),
                    "emulated": len(sample),
                    "restarted": len(gone),
                    "phase": name,
                    **_rates(
                        fleet, since, until, ("asked", "served", "refused", "failed", "lost", "connects")
                    ),
                }
            )
    return run


def _rates(fleet: Fleet, since: int, until: int, names: Sequence[str]) -> dict[str, Cell]:
    seen = fleet.tallies.total(since, until)
    return {name: seen[name] / (until - since) for name in names}


# --- zone-lost ------------------------------------------------------------------------------------------


def zone_lost(sizes: Sequence[Size], zones: Sequence[int], most: int, seed: int) -> Run:
    """A zone's servers go silent, then leave the list, then come back cold; figures of each second.

    Fleets of more than `most` gateways: all that share some of the zone's servers, `whole_cold` in number.
    What others send to warm servers grows by what the zone had, from its loss until it is warm again; what
    they send to cold ones is left out, so only at those of `whole_cold` are all falls seen.
    """
    parameters = {"sizes": [str(s) for s in sizes], "zones": list(zones), "most": most}
    run = Run("zone-lost", seed, parameters)
    for size in sizes:
        for number in zones:
            for row in _one_zone_lost(size, number, most, seed):
                run.add({"size": str(size), "zones": number, **row})
    return run


def _one_zone_lost(size: Size, zones: int, most: int, seed: int) -> list[dict[str, Cell]]:
    holders = holders_of(size)
    watched = [server_name(number) for number in range(0, size.servers, zones)][:WATCHED]
    sample = sorted(
        {index for name in watched for index in holders(name)}
        if size.gateways > most
        else range(size.gateways)
    )
    fleet = Fleet(size, seed, sample=sample, zones=zones)
    lost = [server for server in fleet.servers.values() if server.zone == 0]
    left = max(1, size.servers - len(lost))
    fleet.start_background(holders, holders_of(replace(size, servers=left)))
    fleet.run(WARM_UP)
    for server in lost:
        server.silent = True
    fleet.others_load = size.servers / left
    fleet.run(SILENT)
    fleet.tell([server.member(EndpointState.REMOVED) for server in lost])
    fleet.run(AWAY - SILENT)
    for server in lost:
        server.start()
    fleet.tell([server.member() for server in lost])
    fleet.run(SETTINGS.safety.warm_up_time)
    fleet.others_load = 1.0
    fleet.run(AFTER)
    names = ("asked", "served", "refused", "failed", "attempts", "attempts_gone", "falls", "connects")
    first, last = WARM_UP // SECOND - 2, fleet.second()
    bins: list[dict[str, Cell]] = [
        {"second": at - WARM_UP // SECOND, **{name: fleet.tallies.total(at, at + 1)[name] for name in names}}
        for at in range(first, last)
    ]
    whole = len(watched) if size.gateways > most else len(lost)
    seen = fleet.tallies.total(first, last)
    return [
        *bins,
        {
            "second": "all",
            "emulated": len(sample),
            "whole_cold": whole,
            **{name: seen[name] for name in names},
        },
    ]


# --- commands -------------------------------------------------------------------------------------------


def _finish(run: Run, out: Path | None) -> None:
    if out is None:
        run.finish(None)
        return
    with out.open("a") as file:
        run.finish(file)


seed_option = click.option("--seed", default=1, show_default=True, help="Of all chance in the run.")
most_option = click.option("--most", default=MOST, show_default=True, help="Gateways emulated; more: a part.")
out_option = click.option(
    "--out", type=click.Path(path_type=Path, dir_okay=False), help="File that the line of JSON is added to."
)


def _sizes_option(default: str) -> Callable[[Command], Command]:
    return click.option("--sizes", default=default, show_default=True, help="GATEWAYS/SERVERS,...")


@click.command("module-cost")
@_sizes_option(SIZES_COST)
@click.option("--requests", default=3_000, show_default=True, help="For each size.")
@click.option("--patience", default=20.0, show_default=True, help="Seconds of processor time for each size.")
@seed_option
@out_option
def module_cost_command(sizes: str, requests: int, patience: float, seed: int, out: Path | None) -> None:
    """Processor time and memory of the decision module alone, by servers and gateways."""
    _finish(module_cost(sizes_of(sizes), requests, patience, seed), out)


@click.command("spread")
@_sizes_option(SIZES_SPREAD)
@seed_option
@out_option
def spread_command(sizes: str, seed: int, out: Path | None) -> None:
    """How evenly servers and gateways share each other, and what a join or leave changes."""
    _finish(spread(sizes_of(sizes), seed), out)


@click.command("cold-fleet")
@_sizes_option(SIZES_FLEET)
@click.option("--trials", default=10, show_default=True, help="Cold servers for each size, one at a time.")
@most_option
@seed_option
@out_option
def cold_fleet_command(sizes: str, trials: int, most: int, seed: int, out: Path | None) -> None:
    """What a cold server gets from all its gateways, against what makes it fall."""
    _finish(cold_fleet(sizes_of(sizes), trials, most, seed), out)


@click.command("restart-tenth")
@_sizes_option(SIZES_FLEET)
@most_option
@seed_option
@out_option
def restart_tenth_command(sizes: str, most: int, seed: int, out: Path | None) -> None:
    """A tenth of the gateways restarts at once."""
    _finish(restart_tenth(sizes_of(sizes), most, seed), out)


@click.command("zone-lost")
@_sizes_option(SIZES_FLEET)
@click.option("--zones", multiple=True, default=(24, 3), show_default=True, help="Zones in all; one is lost.")
@most_option
@seed_option
@out_option
def zone_lost_command(sizes: str, zones: tuple[int, ...], most: int, seed: int, out: Path | None) -> None:
    """A zone's servers go silent, leave the list and come back cold."""
    _finish(zone_lost(sizes_of(sizes), zones, most, seed), out)


COMMANDS = (module_cost_command, spread_command, cold_fleet_command, restart_tenth_command, zone_lost_command)
