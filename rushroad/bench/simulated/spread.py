"""The experiment `spread`: how balanced and how stable the subsets of a fleet are."""

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

DIGEST_TIMEOUT_S = 120  # allows for the subsets of the planned fleet size


class SpreadRow(Row, frozen=True, kw_only=True):
    """The subsets of a fleet of one size."""

    gateways: int
    servers: int
    gateways_per_server_min: int = msgspec.field(name="gateways_a_server_min")
    gateways_per_server_mean: float = msgspec.field(name="gateways_a_server_mean")
    gateways_per_server_max: int = msgspec.field(name="gateways_a_server_max")
    servers_per_gateway_min: int = msgspec.field(name="servers_a_gateway_min")
    servers_per_gateway_mean: float = msgspec.field(name="servers_a_gateway_mean")
    servers_per_gateway_max: int = msgspec.field(name="servers_a_gateway_max")
    min_load: float = msgspec.field(name="load_least")  # of a rate server, relative to the mean
    max_load: float = msgspec.field(name="load_most")
    join_subsets: int  # that change if a rate server joins
    max_join_changes: int = msgspec.field(name="join_members_max")  # in one subset
    leave_subsets: int  # that change if a rate server leaves
    max_leave_changes: int = msgspec.field(name="leave_members_max")
    same_after_restart: int  # 1 if a new process computes the same subsets, else 0
    step_at_servers: int  # next smaller number of servers with more gateways per server, or 0
    step_changes_mean: float = msgspec.field(name="step_members_mean")  # per subset, at this step


def run_spread(sizes: Sequence[FleetSize], seed: int) -> Run:
    """Compute the subsets of whole fleets and their changes, without simulating gateways."""
    run = Run("spread", seed, {"sizes": [str(size) for size in sizes]})
    for size in sizes:
        run.add_row(_spread_row(size))
    return run


def _spread_row(size: FleetSize) -> SpreadRow:
    names = endpoint_names(size.rate_servers + 1)
    subsets = subsets_of_fleet(size.gateways, names[:-1])
    distribution = _distribution(subsets, names[:-1])
    lengths = [len(subset) for subset in subsets]
    mean_load = size.gateways / size.rate_servers  # each gateway contributes a load of 1
    joined = _subset_changes(subsets, subsets_of_fleet(size.gateways, names))
    left = _subset_changes(subsets, subsets_of_fleet(size.gateways, names[1:-1]))
    step = _next_replica_step(size, subsets)
    return SpreadRow(
        gateways=size.gateways,
        servers=size.rate_servers,
        gateways_per_server_min=min(distribution.gateway_counts),
        gateways_per_server_mean=fmean(distribution.gateway_counts),
        gateways_per_server_max=max(distribution.gateway_counts),
        servers_per_gateway_min=min(lengths),
        servers_per_gateway_mean=fmean(lengths),
        servers_per_gateway_max=max(lengths),
        min_load=min(distribution.loads) / mean_load,
        max_load=max(distribution.loads) / mean_load,
        join_subsets=joined.changed_subsets,
        max_join_changes=joined.max_endpoints,
        leave_subsets=left.changed_subsets,
        max_leave_changes=left.max_endpoints,
        same_after_restart=int(_digest(subsets) == _digest_in_new_process(size)),
        step_at_servers=step.at_rate_servers,
        step_changes_mean=step.mean_changes,
    )


class _Distribution(NamedTuple):
    gateway_counts: list[int]  # gateways that have an endpoint in their subset, by its number
    loads: list[float]  # of each endpoint, if every gateway spreads a load of 1 evenly


def _distribution(subsets: Sequence[set[str]], names: Sequence[str]) -> _Distribution:
    distribution = _Distribution([0] * len(names), [0.0] * len(names))
    numbers = {name: number for number, name in enumerate(names)}
    for subset in subsets:
        for name in subset:
            distribution.gateway_counts[numbers[name]] += 1
            distribution.loads[numbers[name]] += 1.0 / len(subset)
    return distribution


class _SubsetChanges(NamedTuple):
    changed_subsets: int
    max_endpoints: int  # that joined or left one subset


def _subset_changes(before: Sequence[set[str]], after: Sequence[set[str]]) -> _SubsetChanges:
    changed = [len(old ^ new) for old, new in zip(before, after, strict=True)]
    return _SubsetChanges(sum(map(bool, changed)), max(changed))


class _ReplicaStep(NamedTuple):
    at_rate_servers: int
    mean_changes: float


def _next_replica_step(size: FleetSize, subsets: Sequence[set[str]]) -> _ReplicaStep:
    """Find the next shorter endpoint list at which some endpoints have one more gateway.

    Only changes among the endpoints that remain are counted, that is, those due to the number of gateways per
    endpoint.
    """
    replicas, count = gateways_per_endpoint(size), size.rate_servers - 1
    while count > 0 and gateways_per_endpoint(FleetSize(size.gateways, count, 0.0)) == replicas:
        count -= 1
    if count <= 0:
        return _ReplicaStep(0, 0.0)
    remaining = endpoint_names(count)
    after, known = subsets_of_fleet(size.gateways, remaining), set(remaining)
    changed = fmean(len((old & known) ^ new) for old, new in zip(subsets, after, strict=True))
    return _ReplicaStep(count, changed)


def _digest(subsets: Sequence[set[str]]) -> str:
    return xxhash.xxh3_64_hexdigest("|".join(",".join(sorted(subset)) for subset in subsets).encode())


def subsets_digest(gateways: int, rate_servers: int) -> str:
    """Return a digest of all subsets of a fleet, to compare between processes."""
    return _digest(subsets_of_fleet(gateways, endpoint_names(rate_servers)))


def _digest_in_new_process(size: FleetSize) -> str:
    """Compute the digest in a new process, whose string hashes have a different seed."""
    arguments = f"{size.gateways}, {size.rate_servers}"
    code = f"from {__name__} import subsets_digest; print(subsets_digest({arguments}))"
    command = [sys.executable, "-c", code]
    completed = subprocess.run(command, capture_output=True, text=True, timeout=DIGEST_TIMEOUT_S, check=True)
    return completed.stdout.strip()
