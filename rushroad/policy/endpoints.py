"""The endpoint table: the endpoint list as discovery last reported it, and who of it is in the subset."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from random import Random

from rushroad.policy.events import Endpoint, EndpointState, EndpointUpdate, UpdateKind
from rushroad.policy.subsetting import mean_replicas, replicas_of

MAX_DRAWS = 8  # endpoints drawn to find an acceptable one; if most are acceptable, nearly always enough


class EndpointTable:
    """All endpoints of the list in compact form, with the size of this gateway's subset.

    Entries stand in no particular order, but in one that depends only on the updates.
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

    def __init__(self, gateway_index: int, fleet_size: int, index_cells: bool) -> None:
        """index_cells: whether draw_in_cell will be called."""
        self._gateway_index, self._fleet_size = gateway_index, fleet_size
        self._positions: dict[str, int] = {}  # in _endpoints, by name
        self._endpoints: list[Endpoint] = []
        self._unconfirmed: set[str] = set()  # names that the snapshot in progress has not contained so far
        self._names_by_cell: dict[int, dict[str, None]] | None = {} if index_cells else None
        self.ready_count = 0
        self.mean_replicas = 0.0  # gateways that share an endpoint; 0 before the first whole snapshot

    def apply(self, update: EndpointUpdate) -> list[Endpoint]:
        """Take in an update; the entries that are new or changed, with those removed as REMOVED."""
        is_snapshot = update.kind is not UpdateKind.DELTA
        if is_snapshot and update.is_first_part:
            self._unconfirmed = set(self._positions)
        changed = [endpoint for endpoint in update.endpoints if self._put(endpoint)]
        if is_snapshot:
            self._unconfirmed.difference_update([endpoint.name for endpoint in update.endpoints])
            if update.is_last_part:
                changed += self._remove_unconfirmed()
        return changed

    def _remove_unconfirmed(self) -> list[Endpoint]:
        # Sorted, as the order of a set depends on the hash seed of this process.
        removed = [Endpoint(name, EndpointState.REMOVED) for name in sorted(self._unconfirmed)]
        self._unconfirmed = set()
        return [endpoint for endpoint in removed if self._put(endpoint)]

    def _put(self, endpoint: Endpoint) -> bool:
        """Take in an entry; false where it changes nothing."""
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
        """Remove an entry; the last one takes its position."""
        position, last = self._positions.pop(name), self._endpoints.pop()
        if last.name != name:
            self._endpoints[position], self._positions[last.name] = last, position

    def resize_subset(self) -> bool:
        """Size the subsets by the endpoints that are ready now; true if that may move any entry."""
        previous = self.mean_replicas
        if self.ready_count:
            self.mean_replicas = mean_replicas(self._fleet_size, self.ready_count)
        return self.mean_replicas != previous

    def in_subset(self, endpoint: Endpoint) -> bool:
        """Whether an endpoint is in this gateway's subset."""
        if self.mean_replicas >= self._fleet_size:
            return True
        if self.mean_replicas <= 0:
            return False
        return self._gateway_index in replicas_of(endpoint.name, self._fleet_size, self.mean_replicas)

    def expected_subset_size(self) -> float:
        """The mean number of ready endpoints in a gateway's subset."""
        return self.ready_count * self.mean_replicas / self._fleet_size

    def iterate_backwards(self) -> Iterator[Endpoint]:
        """All entries from the last position on: none is missed if the table changes meanwhile."""
        position = len(self._endpoints)
        while position := min(position, len(self._endpoints)):
            position -= 1
            yield self._endpoints[position]

    def draw(self, accepts: Callable[[Endpoint], bool], random: Random) -> Endpoint | None:
        """Some acceptable endpoint, or None after MAX_DRAWS tries.

        It is drawn at random, so that the gateways do not all find the same one.
        """
        for _ in range(MAX_DRAWS if self._endpoints else 0):
            if accepts(endpoint := self._endpoints[random.randrange(len(self._endpoints))]):
                return endpoint
        return None

    def draw_in_cell(self, cell: int, accepts: Callable[[Endpoint], bool], random: Random) -> Endpoint | None:
        """Some acceptable endpoint of a cell at random; None if there is none, or cells are not indexed."""
        if self._names_by_cell is None:
            return None
        in_cell = [self._endpoints[self._positions[name]] for name in self._names_by_cell.get(cell, ())]
        accepted = [endpoint for endpoint in in_cell if accepts(endpoint)]
        return accepted[random.randrange(len(accepted))] if accepted else None
