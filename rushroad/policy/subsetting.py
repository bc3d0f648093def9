"""Which gateways may forward to an endpoint: deterministic subsetting by hash, the same after a restart.

In a large fleet a gateway forwards only to a subset of the endpoints. Each endpoint draws, by a hash of its
name, the gateways whose subset it is in: its replicas. So all endpoints have the same number of replicas, but
for one; a gateway judges an endpoint by its name alone, in constant time; and an endpoint that joins or
leaves changes only the subsets that hold it, and only by itself. A draw at or above the number of gateways
is skipped, so that a fleet that grows by one gateway moves few endpoints.
"""

from __future__ import annotations

import math

import xxhash

MIN_SUBSET_SIZE = 8  # endpoints per gateway, where there are so many: fewer are too easily bad together
MAX_SUBSET_SIZE = 56  # endpoints per gateway while each has MIN_REPLICAS: a choice looks at all of them
MIN_REPLICAS = 3  # gateways per endpoint: two may be down and it still gets requests
AFFORDABLE_REPLICAS = 8  # gateways per endpoint that cost it little; small fleets have no subsets
REPLICAS_STEP = 0.125  # of the mean: few endpoints gain or lose a replica when the list grows or shrinks
EXTRA_REPLICA_SEED = 0xFFFF  # of the hash that gives some endpoints one more; above the seeds that draws use
HASH_BITS = 64


def mean_replicas(gateways: int, endpoints: int) -> float:
    """The mean number of gateways that share a ready endpoint; all of them where the fleet is small."""
    if endpoints <= 0:
        return gateways
    bounded = min(AFFORDABLE_REPLICAS, max(MIN_REPLICAS, MAX_SUBSET_SIZE * gateways / endpoints))
    replicas = max(bounded, MIN_SUBSET_SIZE * gateways / endpoints)
    return min(gateways, math.ceil(replicas / REPLICAS_STEP) * REPLICAS_STEP)


def replicas_of(name: str, gateways: int, mean: float) -> list[int]:
    """The indexes of the gateways that share an endpoint: `mean` rounded down, or one more for some names."""
    count = int(mean)
    if mean > count:
        extra_hash = xxhash.xxh3_64_intdigest(name.encode(), EXTRA_REPLICA_SEED)
        count += extra_hash < (mean - count) * (1 << HASH_BITS)
    return draw_replicas(name, gateways, count)


def draw_replicas(name: str, gateways: int, count: int) -> list[int]:
    """The indexes of `count` gateways for an endpoint, in the order drawn; `count` is at most `gateways`.

    A higher count only appends further ones.
    """
    index_bits = max(1, (gateways - 1).bit_length())
    mask, drawn, seed, text = (1 << index_bits) - 1, dict[int, None](), 0, name.encode()
    while True:
        hash_bits, seed = xxhash.xxh3_64_intdigest(text, seed), seed + 1
        for _ in range(HASH_BITS // index_bits):
            if (index := hash_bits & mask) < gateways:
                drawn[index] = None
                if len(drawn) >= count:
                    return list(drawn)
            hash_bits >>= index_bits
