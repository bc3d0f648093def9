"""The endpoint table: the endpoint list as last reported by discovery, and which entries are in the subset.

`active_endpoints` has the state of the endpoints in the subset.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from random import Random

from rushroad.policy.events import Endpoint, EndpointState, EndpointUpdate, UpdateKind
from rushroad.policy.subsetting import mean_replicas, replicas_of

MAX_RANDOM_PICKS = 8  # tries to find an accepted entry; nearly always enough if most are accepted


class EndpointTable:
    """All entries of the endpoint list in compact form, with the size of the subsets.

    The order of the entries is unspecified, but depends only on the updates.
    """

    __slots__ = (
        "_entries",
        "_fleet_size",
        "_gateway_index",
        "_names_by_cell",
        "_positions",
        "_unconfirmed",
        "mean_replicas",
        "ready_count",
    )

    def __init__(self, gateway_index: int, fleet_size: int, index_by_cell: bool) -> None:
        """Create an empty table; `index_by_cell` is needed for `pick_random_in_cell`."""
        self._gateway_index, self._fleet_size = gateway_index, fleet_size
        self._positions: dict[str, int] = {}  # indexes into _entries, by name
        self._entries: list[Endpoint] = []
        self._unconfirmed: set[str] = set()  # names not seen so far in the snapshot in progress
        self._names_by_cell: dict[int, dict[str, None]] | None = {} if index_by_cell else None
        self.ready_count = 0
        self.mean_replicas = 0.0  # gateways per endpoint; 0 before the first complete snapshot

    def apply(self, update: EndpointUpdate) -> list[Endpoint]:
        """Apply an update; return the entries that are new, changed or, with the state REMOVED, removed."""
        is_snapshot = update.kind is not UpdateKind.DELTA
        if is_snapshot and update.is_first_part:
            self._unconfirmed = set(self._positions)
        changed = [entry for entry in update.endpoints if self._apply_entry(entry)]
        if is_snapshot:
            self._unconfirmed.difference_update([entry.name for entry in update.endpoints])
            if update.is_last_part:
                changed += self._remove_unconfirmed()
        return changed

    def _remove_unconfirmed(self) -> list[Endpoint]:
        # Sorted because the order of a set of strings depends on the hash seed of the process.
        removed = [Endpoint(name, EndpointState.REMOVED) for name in sorted(self._unconfirmed)]
        self._unconfirmed = set()
        return [entry for entry in removed if self._apply_entry(entry)]

    def _apply_entry(self, entry: Endpoint) -> bool:
        """Apply one entry; return False if it changes nothing."""
        position = self._positions.get(entry.name)
        previous = None if position is None else self._entries[position]
        is_removed = entry.state is EndpointState.REMOVED
        if previous == entry or (previous is None and is_removed):
            return False
        self.ready_count += entry.state is EndpointState.READY
        if previous is not None:
            self.ready_count -= previous.state is EndpointState.READY
            if self._names_by_cell is not None:
                del self._names_by_cell[previous.cell][entry.name]
        if is_removed:
            self._remove(entry.name)
            return True
        if position is None:
            self._positions[entry.name] = len(self._entries)
            self._entries.append(entry)
        else:
            self._entries[position] = entry
        if self._names_by_cell is not None:
            self._names_by_cell.setdefault(entry.cell, {})[entry.name] = None
        return True

    def _remove(self, name: str) -> None:
        """Remove an entry; the last entry moves to its position."""
        position, last = self._positions.pop(name), self._entries.pop()
        if last.name != name:
            self._entries[position], self._positions[last.name] = last, position

    def resize_subset(self) -> bool:
        """Adapt `mean_replicas` to the number of ready endpoints; return whether subsets may change."""
        previous = self.mean_replicas
        if self.ready_count:
            self.mean_replicas = mean_replicas(self._fleet_size, self.ready_count)
        return self.mean_replicas != previous

    def in_subset(self, entry: Endpoint) -> bool:
        """Return whether an endpoint is in this gateway's subset."""
        if self.mean_replicas >= self._fleet_size:
            return True
        if self.mean_replicas <= 0:
            return False
        return self._gateway_index in replicas_of(entry.name, self._fleet_size, self.mean_replicas)

    def expected_subset_size(self) -> float:
        """Return the mean number of ready endpoints in a subset."""
        return self.ready_count * self.mean_replicas / self._fleet_size

    def iterate_backwards(self) -> Iterator[Endpoint]:
        """Yield all entries, the last first: a removal meanwhile, which moves the last entry, skips none."""
        position = len(self._entries)
        while position := min(position, len(self._entries)):
            position -= 1
            yield self._entries[position]

    def pick_random(self, accepts: Callable[[Endpoint], bool], random: Random) -> Endpoint | None:
        """Return a random accepted entry, or None after MAX_RANDOM_PICKS tries.

        A random pick keeps the gateways from all choosing the same endpoint.
        """
        for _ in range(MAX_RANDOM_PICKS if self._entries else 0):
            if accepts(entry := self._entries[random.randrange(len(self._entries))]):
                return entry
        return None

    def pick_random_in_cell(
        self, cell: int, accepts: Callable[[Endpoint], bool], random: Random
    ) -> Endpoint | None:
        """Return a random accepted entry of a cell; None if there is none, or cells are not indexed."""
        if self._names_by_cell is None:
            return None
        in_cell = [self._entries[self._positions[name]] for name in self._names_by_cell.get(cell, ())]
        accepted = [entry for entry in in_cell if accepts(entry)]
        return accepted[random.randrange(len(accepted))] if accepted else None
