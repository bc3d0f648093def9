"""Deterministic subsetting by hash: which gateways may forward to an endpoint, unchanged by a restart.

In a large fleet a gateway forwards only to a subset of the endpoints. A hash of an endpoint's name selects
the gateways whose subsets contain it: its replicas. Hence the numbers of replicas of any two endpoints differ
by at most one; a gateway decides in constant time, from the name alone, whether an endpoint is in its subset;
and an endpoint that joins or leaves changes only the subsets that contain it, and only by itself. Hashed
indexes at or above the number of gateways are skipped, so that adding a gateway moves few endpoints.
"""

from __future__ import annotations

import math

import xxhash

MIN_SUBSET_SIZE = 8  # endpoints per gateway, if there are as many; fewer are too easily all unhealthy
MAX_SUBSET_SIZE = 56  # endpoints per gateway, unless MIN_REPLICAS needs more; a choice examines them all
MIN_REPLICAS = 3  # gateways per endpoint, so that it still gets requests with two of them down
SOFT_MAX_REPLICAS = 8  # gateways per endpoint that cost it little; small fleets have no subsets
REPLICAS_STEP = 0.125  # of the mean: few endpoints gain or lose a replica as the list grows or shrinks
EXTRA_REPLICA_SEED = 0xFFFF  # for the hash that adds a replica to some; above the selection's seeds
HASH_BITS = 64


def mean_replicas(gateways: int, endpoints: int) -> float:
    """Return the mean number of gateways that share a ready endpoint: all of them in a small fleet."""
    if endpoints <= 0:
        return gateways
    bounded = min(SOFT_MAX_REPLICAS, max(MIN_REPLICAS, MAX_SUBSET_SIZE * gateways / endpoints))
    replicas = max(bounded, MIN_SUBSET_SIZE * gateways / endpoints)
    return min(gateways, math.ceil(replicas / REPLICAS_STEP) * REPLICAS_STEP)


def replicas_of(name: str, gateways: int, mean: float) -> list[int]:
    """Return the indexes of the gateways that share an endpoint: `mean` rounded down, or one more."""
    count = int(mean)
    if mean > count:
        extra_hash = xxhash.xxh3_64_intdigest(name.encode(), EXTRA_REPLICA_SEED)
        count += extra_hash < (mean - count) * (1 << HASH_BITS)
    return select_replicas(name, gateways, count)


def select_replicas(name: str, gateways: int, count: int) -> list[int]:
    """Return the indexes of `count` gateways for an endpoint, in selection order; `count` <= `gateways`.

    A higher count only appends further indexes.
    """
    index_bits = max(1, (gateways - 1).bit_length())
    mask, selected, seed, text = (1 << index_bits) - 1, dict[int, None](), 0, name.encode()
    while True:
        hash_bits, seed = xxhash.xxh3_64_intdigest(text, seed), seed + 1
        for _ in range(HASH_BITS // index_bits):
            if (index := hash_bits & mask) < gateways:
                selected[index] = None
                if len(selected) >= count:
                    return list(selected)
            hash_bits >>= index_bits
