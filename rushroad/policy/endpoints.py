"""The endpoint table: the endpoint list as last reported by discovery, and the gateway's subset of it."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from random import Random

from rushroad.policy.events import Endpoint, EndpointState, EndpointUpdate, UpdateKind
from rushroad.policy.subsetting import mean_replicas, replicas_of

MAX_RANDOM_PICKS = 8  # tries to find an acceptable endpoint; nearly always enough if most are acceptable


class EndpointTable:
    """All entries of the endpoint list in compact form, with the size of the subsets.

    The order of the entries is unspecified, but depends only on the updates.
    """

    __slots__ = (
        "_endpoints",
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
        self._positions: dict[str, int] = {}  # indexes into _endpoints, by name
        self._endpoints: list[Endpoint] = []
        self._unconfirmed: set[str] = set()  # names not seen so far in the snapshot in progress
        self._names_by_cell: dict[int, dict[str, None]] | None = {} if index_by_cell else None
        self.ready_count = 0
        self.mean_replicas = 0.0  # gateways per endpoint; 0 before the first complete snapshot

    def apply(self, update: EndpointUpdate) -> list[Endpoint]:
        """Apply an update; return the entries that are new, changed or, with the state REMOVED, removed."""
        is_snapshot = update.kind is not UpdateKind.DELTA
        if is_snapshot and update.is_first_part:
            self._unconfirmed = set(self._positions)
        changed = [endpoint for endpoint in update.endpoints if self._apply_entry(endpoint)]
        if is_snapshot:
            self._unconfirmed.difference_update([endpoint.name for endpoint in update.endpoints])
            if update.is_last_part:
                changed += self._remove_unconfirmed()
        return changed

    def _remove_unconfirmed(self) -> list[Endpoint]:
        # Sorted because the order of a set of strings depends on the hash seed of the process.
        removed = [Endpoint(name, EndpointState.REMOVED) for name in sorted(self._unconfirmed)]
        self._unconfirmed = set()
        return [endpoint for endpoint in removed if self._apply_entry(endpoint)]

    def _apply_entry(self, endpoint: Endpoint) -> bool:
        """Apply one entry; return False if it changes nothing."""
        position = self._positions.get(endpoint.name)
        previous = None if position is None else self._endpoints[position]
        is_removed = endpoint.state is EndpointState.REMOVED
        if previous == endpoint or (previous is None and is_removed):
            return False
        self.ready_count += endpoint.state is EndpointState.READY
        if previous is not None:
            self.ready_count -= previous.state is EndpointState.READY
            if self._names_by_cell is not None:
                del self._names_by_cell[previous.cell][endpoint.name]
        if is_removed:
            self._remove(endpoint.name)
            return True
        if position is None:
            self._positions[endpoint.name] = len(self._endpoints)
            self._endpoints.append(endpoint)
        else:
            self._endpoints[position] = endpoint
        if self._names_by_cell is not None:
            self._names_by_cell.setdefault(endpoint.cell, {})[endpoint.name] = None
        return True

    def _remove(self, name: str) -> None:
        """Remove an entry; the last entry moves to its position."""
        position, last = self._positions.pop(name), self._endpoints.pop()
        if last.name != name:
            self._endpoints[position], self._positions[last.name] = last, position

    def resize_subset(self) -> bool:
        """Adapt the subset size to the number of ready endpoints; return True if that may move any entry."""
        previous = self.mean_replicas
        if self.ready_count:
            self.mean_replicas = mean_replicas(self._fleet_size, self.ready_count)
        return self.mean_replicas != previous

    def in_subset(self, endpoint: Endpoint) -> bool:
        """Return whether an endpoint is in this gateway's subset."""
        if self.mean_replicas >= self._fleet_size:
            return True
        if self.mean_replicas <= 0:
            return False
        return self._gateway_index in replicas_of(endpoint.name, self._fleet_size, self.mean_replicas)

    def expected_subset_size(self) -> float:
        """Return the mean number of ready endpoints in a subset."""
        return self.ready_count * self.mean_replicas / self._fleet_size

    def iterate_backwards(self) -> Iterator[Endpoint]:
        """Yield all entries, the last first, so that none is missed if the table changes meanwhile."""
        position = len(self._endpoints)
        while position := min(position, len(self._endpoints)):
            position -= 1
            yield self._endpoints[position]

    def pick_random(self, accepts: Callable[[Endpoint], bool], random: Random) -> Endpoint | None:
        """Return a random acceptable endpoint, or None after MAX_RANDOM_PICKS tries.

        A random pick keeps the gateways from all choosing the same endpoint.
        """
        for _ in range(MAX_RANDOM_PICKS if self._endpoints else 0):
            if accepts(endpoint := self._endpoints[random.randrange(len(self._endpoints))]):
                return endpoint
        return None

    def pick_random_in_cell(
        self, cell: int, accepts: Callable[[Endpoint], bool], random: Random
    ) -> Endpoint | None:
        """Return a random acceptable endpoint of a cell; None if there is none, or cells are not indexed."""
        if self._names_by_cell is None:
            return None
        in_cell = [self._endpoints[self._positions[name]] for name in self._names_by_cell.get(cell, ())]
        accepted = [endpoint for endpoint in in_cell if accepts(endpoint)]
        return accepted[random.randrange(len(accepted))] if accepted else None
