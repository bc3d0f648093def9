"""Which rate servers a gateway keeps to: a bounded, stable part of the list, the same after a restart. Pure.

Deterministic subsetting by hash, from the side of the servers: each draws, by a hash of its name, gateways to
share it. So all servers have the same number of gateways, but for one; a gateway judges an entry by the entry
alone, in constant time; and a server that joins or leaves changes only the subsets that hold it, by itself
alone. A draw at or over the number of gateways is passed over: a fleet that grows by one moves few draws.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterator
from random import Random

import xxhash

from rushroad.policy.events import Endpoint, EndpointState, EndpointUpdate, UpdateKind

SERVERS_LEAST = 8  # servers a gateway, where there are so many: fewer are too easily bad together
SERVERS_MOST = 56  # servers a gateway, as long as each has SHARERS_LEAST: a choice looks at them all
SHARERS_LEAST = 3  # gateways a server: two may be down and it still gets requests
SHARERS_FEW = 8  # gateways a server that cost it little; fleets of up to so many keep all their servers
SHARE_STEP = 0.125  # of a gateway; with it few servers gain or lose one when the list grows or shrinks
PART_SEED = 0xFFFF  # of the hash by which a server has one gateway more; beyond those that draws use
TRIES = 8  # entries looked at for one from outside; where most of the list is good, nearly always one is


def sharers(gateways: int, servers: int) -> float:
    """How many gateways share a ready server in the mean; all of them where the fleet is small."""
    if servers <= 0:
        return gateways
    least = min(SHARERS_FEW, max(SHARERS_LEAST, SERVERS_MOST * gateways / servers))
    share = max(least, SERVERS_LEAST * gateways / servers)
    return min(gateways, math.ceil(share / SHARE_STEP) * SHARE_STEP)


def holders(name: str, gateways: int, share: float) -> list[int]:
    """The gateways, by index, that share a server: in the mean `share` of them, at some one more."""
    count = int(share)
    if share > count:
        count += xxhash.xxh3_64_intdigest(name.encode(), PART_SEED) < (share - count) * (1 << 64)
    return picks(name, gateways, count)


def picks(name: str, gateways: int, count: int) -> list[int]:
    """The gateways, by index, that share a server: so many of so many, in the order drawn.

    More of them begin with the same ones. `count` is at most `gateways`.
    """
    bits = max(1, (gateways - 1).bit_length())
    mask, found, seed, text = (1 << bits) - 1, dict[int, None](), 0, name.encode()
    while True:
        draws, seed = xxhash.xxh3_64_intdigest(text, seed), seed + 1
        for _ in range(64 // bits):
            if (draw := draws & mask) < gateways:
                found[draw] = None
                if len(found) >= count:
                    return list(found)
            draws >>= bits


class Roster:
    """All servers that the list names, held compactly, and which of them are this gateway's."""

    def __init__(self, index: int, gateways: int, cells: bool) -> None:
        self._index, self._gateways = index, gateways
        self._at: dict[str, int] = {}  # where a server's entry stands
        self._lines: list[Endpoint] = []
        self._unnamed: set[str] = set()  # what the whole list that is being told has not named so far
        self._cells: dict[int, dict[str, None]] | None = {} if cells else None  # names by cell, if it matters
        self.ready = 0
        self.share = 0.0  # gateways that share a server, in the mean; 0 before the first whole list

    def take(self, event: EndpointUpdate) -> list[Endpoint]:
        """Take news in; the entries that are new or have changed, those that are gone among them."""
        whole = event.kind is not UpdateKind.DELTA
        if whole and event.first:
            self._unnamed = set(self._at)
        changed = [line for line in event.endpoints if self._put(line)]
        if whole:
            self._unnamed.difference_update([line.name for line in event.endpoints])
            if event.last:
                # In an order that does not hang on the hashes of this process.
                gone = [Endpoint(name, EndpointState.REMOVED) for name in sorted(self._unnamed)]
                changed += [line for line in gone if self._put(line)]
                self._unnamed = set()
        return changed

    def _put(self, line: Endpoint) -> bool:
        """Take an entry in; false where it changes nothing."""
        at = self._at.get(line.name)
        before = None if at is None else self._lines[at]
        if before == line or (before is None and line.state is EndpointState.REMOVED):
            return False
        self.ready += (line.state is EndpointState.READY) - (
            before is not None and before.state is EndpointState.READY
        )
        if before is not None and self._cells is not None:
            del self._cells[before.cell][line.name]
        if line.state is EndpointState.REMOVED:
            self._remove(line.name)
            return True
        if at is None:
            self._at[line.name] = len(self._lines)
            self._lines.append(line)
        else:
            self._lines[at] = line
        if self._cells is not None:
            self._cells.setdefault(line.cell, {})[line.name] = None
        return True

    def _remove(self, name: str) -> None:
        """The last entry fills the gap."""
        at, last = self._at.pop(name), self._lines.pop()
        if last.name != name:
            self._lines[at], self._at[last.name] = last, at

    def reshare(self) -> bool:
        """Go by the servers that are ready now; true where all entries have to be looked at anew."""
        before = self.share
        if self.ready:
            self.share = sharers(self._gateways, self.ready)
        return self.share != before

    def mine(self, line: Endpoint) -> bool:
        """It is in this gateway's subset."""
        if self.share >= self._gateways:
            return True
        return self.share > 0 and self._index in holders(line.name, self._gateways, self.share)

    def expected(self) -> float:
        """Servers that are ready, in the mean of all gateways' subsets."""
        return self.ready * self.share / self._gateways

    def backwards(self) -> Iterator[Endpoint]:
        """All entries, the last first: what is taken in or off meanwhile is not passed over."""
        at = len(self._lines)
        while at := min(at, len(self._lines)):
            at -= 1
            yield self._lines[at]

    def outside(self, good: Callable[[Endpoint], bool], chance: Random) -> Endpoint | None:
        """Some server that is good: each gateway finds another one, so that they do not fall on the same."""
        for _ in range(TRIES if self._lines else 0):
            if good(line := self._lines[chance.randrange(len(self._lines))]):
                return line
        return None

    def in_cell(self, cell: int, good: Callable[[Endpoint], bool], chance: Random) -> Endpoint | None:
        """Some server of a cell that is good; none where cells do not matter."""
        names = [] if self._cells is None else list(self._cells.get(cell, ()))
        fit = [line for line in (self._lines[self._at[name]] for name in names) if good(line)]
        return fit[chance.randrange(len(fit))] if fit else None
