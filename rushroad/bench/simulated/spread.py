"""The experiment `spread`: how evenly the subsets of a fleet share the endpoints, and how stable they are."""

from __future__ import annotations

import subprocess
import sys
from collections.abc import Sequence
from statistics import fmean
from typing import NamedTuple

import msgspec
import xxhash

from rushroad.bench.fleet_size import FleetSize
from rushroad.bench.report import Run
from rushroad.bench.rows import Row
from rushroad.bench.simulated.subsets import endpoint_names, gateways_per_endpoint, subsets_of_fleet

DIGEST_TIMEOUT_S = 120  # in a new process; the subsets of the planned fleet size take some of it


class SpreadRow(Row, frozen=True, kw_only=True):
    """The subsets of a fleet of one size."""

    gateways: int
    servers: int
    gateways_a_server_min: int
    gateways_a_server_mean: float
    gateways_a_server_max: int
    servers_a_gateway_min: int
    servers_a_gateway_mean: float
    servers_a_gateway_max: int
    min_load: float = msgspec.field(name="load_least")  # of a rate server, over the mean
    max_load: float = msgspec.field(name="load_most")
    join_subsets: int  # changed by a rate server that joins
    max_join_changes: int = msgspec.field(name="join_members_max")  # of one subset
    leave_subsets: int
    max_leave_changes: int = msgspec.field(name="leave_members_max")
    same_after_restart: int  # 1: a new process finds the same subsets
    step_at_servers: int  # the next shorter list with more gateways an endpoint; 0: there is none
    step_changes_mean: float = msgspec.field(name="step_members_mean")  # of a subset, at this step


def spread(sizes: Sequence[FleetSize], seed: int) -> Run:
    """Compute the subsets of whole fleets, and what changes in them; no gateway is simulated."""
    run = Run("spread", seed, {"sizes": [str(size) for size in sizes]})
    for size in sizes:
        run.add_row(_spread_row(size))
    return run


def _spread_row(size: FleetSize) -> SpreadRow:
    names = endpoint_names(size.rate_servers + 1)
    subsets = subsets_of_fleet(size.gateways, names[:-1])
    sharing = _sharing(subsets, names[:-1])
    lengths = [len(subset) for subset in subsets]
    mean_load = size.gateways / size.rate_servers  # each gateway hands out one
    joined = _changes(subsets, subsets_of_fleet(size.gateways, names))
    left = _changes(subsets, subsets_of_fleet(size.gateways, names[1:-1]))
    step = _next_step(size, subsets)
    return SpreadRow(
        gateways=size.gateways,
        servers=size.rate_servers,
        gateways_a_server_min=min(sharing.gateways),
        gateways_a_server_mean=fmean(sharing.gateways),
        gateways_a_server_max=max(sharing.gateways),
        servers_a_gateway_min=min(lengths),
        servers_a_gateway_mean=fmean(lengths),
        servers_a_gateway_max=max(lengths),
        min_load=min(sharing.loads) / mean_load,
        max_load=max(sharing.loads) / mean_load,
        join_subsets=joined.subsets,
        max_join_changes=joined.max_endpoints,
        leave_subsets=left.subsets,
        max_leave_changes=left.max_endpoints,
        same_after_restart=int(_digest(subsets) == _digest_in_new_process(size)),
        step_at_servers=step.at_rate_servers,
        step_changes_mean=step.mean_changes,
    )


class _Sharing(NamedTuple):
    gateways: list[int]  # that have an endpoint in their subset, by the endpoint's number
    loads: list[float]  # of an endpoint, where each gateway spreads a load of 1 evenly


def _sharing(subsets: Sequence[set[str]], names: Sequence[str]) -> _Sharing:
    sharing = _Sharing([0] * len(names), [0.0] * len(names))
    numbers = {name: number for number, name in enumerate(names)}
    for subset in subsets:
        for name in subset:
            sharing.gateways[numbers[name]] += 1
            sharing.loads[numbers[name]] += 1.0 / len(subset)
    return sharing


class _Changes(NamedTuple):
    subsets: int  # subsets that changed
    max_endpoints: int  # that came to or left one subset


def _changes(before: Sequence[set[str]], after: Sequence[set[str]]) -> _Changes:
    changed = [len(old ^ new) for old, new in zip(before, after, strict=True)]
    return _Changes(sum(map(bool, changed)), max(changed))


class _Step(NamedTuple):
    at_rate_servers: int
    mean_changes: float


def _next_step(size: FleetSize, subsets: Sequence[set[str]]) -> _Step:
    """Find the next shorter list at which some endpoints have one gateway more, and what that changes.

    The endpoints that stay are the same, so only what the number of gateways an endpoint changes is counted.
    """
    replicas, count = gateways_per_endpoint(size), size.rate_servers - 1
    while count > 0 and gateways_per_endpoint(FleetSize(size.gateways, count, 0.0)) == replicas:
        count -= 1
    if count <= 0:
        return _Step(0, 0.0)
    remaining = endpoint_names(count)
    after, known = subsets_of_fleet(size.gateways, remaining), set(remaining)
    changed = fmean(len((old & known) ^ new) for old, new in zip(subsets, after, strict=True))
    return _Step(count, changed)


def _digest(subsets: Sequence[set[str]]) -> str:
    return xxhash.xxh3_64_hexdigest("|".join(",".join(sorted(subset)) for subset in subsets).encode())


def subsets_digest(gateways: int, rate_servers: int) -> str:
    """A digest of all subsets of such a fleet, to compare between processes."""
    return _digest(subsets_of_fleet(gateways, endpoint_names(rate_servers)))


def _digest_in_new_process(size: FleetSize) -> str:
    """The digest from a new process, which hashes strings with another seed."""
    arguments = f"{size.gateways}, {size.rate_servers}"
    code = f"from {__name__} import subsets_digest; print(subsets_digest({arguments}))"
    command = [sys.executable, "-c", code]
    done = subprocess.run(command, capture_output=True, text=True, timeout=DIGEST_TIMEOUT_S, check=True)
    return done.stdout.strip()
