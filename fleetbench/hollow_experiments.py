"""Experiments on hollow fleets: what the decision module costs and does at any size, on a virtual clock."""

from __future__ import annotations

import gc
import time
import tracemalloc
from collections.abc import Sequence
from dataclasses import replace
from pathlib import Path

import click

from fleetbench.hollow import (
    CELL, SECOND, SETTINGS, START, ZONES, CountingGateway, Fleet, Size, server_name, size_of,
)  # fmt: skip
from fleetbench.report import Cell, Run, fit
from mothgap.interface import ListKind, Member, Members, SetTimer, State, Timer
from mothgap.rules import Gateway

SIZES_COST = "3/40,200/40,30/200,200/200,100/2000,400/8000,4900/97000"
WARM_PART = 0.2  # of the requests; they come first and are not counted
COUNTED = 100  # requests over which the servers looked at are counted: chance changes little in them
CHANGES = 100  # entries changed one by one, and then once all in one message
SLICE = SECOND // 10  # of the virtual clock, between looks at the processor time that is left
MEGABYTE = 1_000_000


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
        run.add({
            "gateways": size.gateways, "servers": size.servers, "requests": asked, "us_request": cost,
            "looked_at": _looked_at(size, seed, min(COUNTED, asked)),
            **_change_cost(fleet), **_list_cost(size),
        })
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
    gateway, lines = fleet.gateways[0], list(fleet.listed.values())[:CHANGES]
    began = gateway.cpu
    for line in lines:
        gateway.tell([replace(line, started_at=fleet.now)])
    alone = gateway.cpu - began
    gateway.tell([replace(line, started_at=fleet.now + 1) for line in lines])
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


def _lines(size: Size) -> tuple[Member, ...]:
    return tuple(
        Member(server_name(n), State.READY, kind=n % 2, zone=n % ZONES, cell=n // (ZONES * CELL))
        for n in range(size.servers)
    )


def _take_list(size: Size, lines: tuple[Member, ...]) -> Gateway:
    gateway, now = Gateway(replace(SETTINGS, fleet_size=size.gateways), 1, START), START
    actions = gateway.handle(now, Members(ListKind.CACHED, 1, lines))
    while timers := [action for action in actions if isinstance(action, SetTimer)]:
        now += max(SETTINGS.tick, timers[0].delay)
        actions = gateway.handle(now, Timer(timers[0].token))
    return gateway


# --- commands -------------------------------------------------------------------------------------------

seed_option = click.option("--seed", default=1, show_default=True, help="Of all chance in the run.")
out_option = click.option(
    "--out", type=click.Path(path_type=Path, dir_okay=False), help="File that the line of JSON is added to."
)


def _finish(run: Run, out: Path | None) -> None:
    if out is None:
        run.finish(None)
        return
    with out.open("a") as file:
        run.finish(file)


@click.command("module-cost")
@click.option("--sizes", default=SIZES_COST, show_default=True, help="GATEWAYS/SERVERS,...")
@click.option("--requests", default=3_000, show_default=True, help="For each size.")
@click.option("--patience", default=20.0, show_default=True, help="Seconds of processor time for each size.")
@seed_option
@out_option
def module_cost_command(sizes: str, requests: int, patience: float, seed: int, out: Path | None) -> None:
    """Processor time and memory of the decision module alone, by servers and gateways."""
    _finish(module_cost(sizes_of(sizes), requests, patience, seed), out)


COMMANDS = (module_cost_command,)
