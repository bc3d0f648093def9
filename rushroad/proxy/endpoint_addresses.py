"""The address table: where each endpoint is that may be sent requests, as the endpoint list says."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple, TypeAlias

from rushroad.policy.events import Endpoint, EndpointState

# An EndpointAddress as one text. The table holds one for each endpoint there is: 122 bytes an entry with its
# place in the table, where a tuple would take 240.
PackedAddress: TypeAlias = str


class EndpointAddress(NamedTuple):
    """Where an endpoint is, and when it last started: after a restart its connections are new ones."""

    host: str
    port: int
    started_at: int  # microseconds; 0: long ago


def pack_address(host_port: tuple[str, int], started_at: int) -> PackedAddress:
    """Pack an address; two packed ones are equal only if all their parts are."""
    return f"{host_port[0]}:{host_port[1]} {started_at}"


def unpack_address(packed: PackedAddress) -> EndpointAddress:
    """Return the parts of a packed address; raises ValueError where the host holds a space."""
    host_port, _, started_at = packed.partition(" ")
    host, _, port = host_port.rpartition(":")
    return EndpointAddress(host, int(port), int(started_at))


class EndpointAddresses:
    """Owns the address of each endpoint in the state READY; other endpoints have none."""

    def __init__(self) -> None:
        self._addresses: dict[str, PackedAddress] = {}
        self._unconfirmed: dict[str, PackedAddress] = {}  # not named so far by the snapshot that is coming in

    def get(self, name: str) -> PackedAddress | None:
        """Return the address of an endpoint, or None where it may be sent nothing new."""
        return self._addresses.get(name)

    def update(self, endpoint: Endpoint, host_port: tuple[str, int]) -> PackedAddress:
        """Take an entry of the endpoint list; returns its address, also where nothing may be sent there."""
        name = endpoint.name
        self._unconfirmed.pop(name, None)
        packed = pack_address(host_port, endpoint.started_at)
        if endpoint.state is EndpointState.READY:
            self._addresses[name] = packed
        else:
            self._addresses.pop(name, None)
        return packed

    def begin_snapshot(self) -> None:
        """Begin a snapshot of the endpoint list; one that was not finished is forgotten."""
        self._unconfirmed = self._addresses.copy()  # a copy takes a third of the time of a set of the names

    def finish_snapshot(self) -> Iterable[str]:
        """Remove the endpoints that no part of the snapshot named, and return their names."""
        removed, self._unconfirmed = self._unconfirmed, {}
        for name in removed:
            self._addresses.pop(name, None)
        return removed
