"""The addresses of the ready endpoints, according to the endpoint list."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple, TypeAlias

from rushroad.policy.events import Endpoint, EndpointState

# An EndpointAddress as a string, because one is held for each endpoint: with its dict entry a string takes
# 122 bytes, a tuple 240.
PackedAddress: TypeAlias = str


class EndpointAddress(NamedTuple):
    """The address of an endpoint and its last start time; a restart invalidates its connections."""

    host: str
    port: int
    started_at: int  # microseconds; 0 means long ago


def pack_address(host_port: tuple[str, int], started_at: int) -> PackedAddress:
    """Pack an address; packed addresses are equal only if all their parts are."""
    return f"{host_port[0]}:{host_port[1]} {started_at}"


def unpack_address(packed: PackedAddress) -> EndpointAddress:
    """Return the parts of a packed address; raises ValueError if the host contains a space."""
    host_port, _, started_at = packed.partition(" ")
    host, _, port = host_port.rpartition(":")
    return EndpointAddress(host, int(port), int(started_at))


class EndpointAddresses:
    """Holds the address of each endpoint in the state READY; other endpoints have none."""

    def __init__(self) -> None:
        self._addresses: dict[str, PackedAddress] = {}
        self._unconfirmed: dict[str, PackedAddress] = {}  # not yet named by the snapshot being received

    def get(self, name: str) -> PackedAddress | None:
        """Return the address of an endpoint, or None if it is not ready."""
        return self._addresses.get(name)

    def apply_entry(self, endpoint: Endpoint, host_port: tuple[str, int]) -> PackedAddress:
        """Apply an entry of the endpoint list; returns its address, even if the endpoint is not ready."""
        name = endpoint.name
        self._unconfirmed.pop(name, None)
        packed = pack_address(host_port, endpoint.started_at)
        if endpoint.state is EndpointState.READY:
            self._addresses[name] = packed
        else:
            self._addresses.pop(name, None)
        return packed

    def begin_snapshot(self) -> None:
        """Begin a snapshot of the endpoint list; an unfinished one is discarded."""
        self._unconfirmed = self._addresses.copy()  # takes a third of the time of building a set of names

    def finish_snapshot(self) -> Iterable[str]:
        """Remove the endpoints that no part of the snapshot named and return their names."""
        removed, self._unconfirmed = self._unconfirmed, {}
        for name in removed:
            self._addresses.pop(name, None)
        return removed
