"""EndpointAddresses: packed addresses, and which endpoints have an address after deltas and snapshots."""

import pytest

from rushroad.policy.events import Endpoint, EndpointState
from rushroad.proxy.endpoint_addresses import (
    EndpointAddress,
    EndpointAddresses,
    pack_address,
    unpack_address,
)

ADDRESS = ("10.0.0.1", 80)


@pytest.fixture
def addresses() -> EndpointAddresses:
    """Addresses of the ready endpoints a and b."""
    addresses = EndpointAddresses()
    for name in ("a", "b"):
        addresses.apply_entry(Endpoint(name, EndpointState.READY, started_at=7), ADDRESS)
    return addresses


@pytest.mark.parametrize("address", [("10.0.0.1", 80, 0), ("host.zone-1", 65_535, 1 << 53), ("::1", 1, 7)])
def test_unpacking_a_packed_address_returns_its_parts(address: tuple[str, int, int]) -> None:
    host, port, started_at = address
    assert unpack_address(pack_address((host, port), started_at)) == EndpointAddress(*address)


def test_address_of_a_restarted_endpoint_differs(addresses: EndpointAddresses) -> None:
    before = addresses.get("a")
    assert addresses.apply_entry(Endpoint("a", EndpointState.READY, started_at=8), ADDRESS) != before
    assert addresses.apply_entry(Endpoint("a", EndpointState.READY, started_at=7), ADDRESS) == before


@pytest.mark.parametrize("state", [EndpointState.DRAINING, EndpointState.REMOVED])
def test_endpoint_that_is_not_ready_has_no_address(
    addresses: EndpointAddresses, state: EndpointState
) -> None:
    addresses.apply_entry(Endpoint("a", state), ADDRESS)
    assert addresses.get("a") is None
    assert addresses.get("b") is not None


def test_endpoint_that_a_complete_snapshot_does_not_name_is_removed(addresses: EndpointAddresses) -> None:
    addresses.begin_snapshot()
    addresses.apply_entry(Endpoint("b", EndpointState.READY), ADDRESS)
    assert addresses.get("a") is not None  # until the snapshot is complete
    assert list(addresses.finish_snapshot()) == ["a"]
    assert addresses.get("a") is None
    assert addresses.get("b") is not None


def test_new_snapshot_discards_an_unfinished_one(addresses: EndpointAddresses) -> None:
    addresses.begin_snapshot()
    addresses.apply_entry(Endpoint("a", EndpointState.READY), ADDRESS)
    addresses.begin_snapshot()
    addresses.apply_entry(Endpoint("b", EndpointState.READY), ADDRESS)
    assert list(addresses.finish_snapshot()) == ["a"]
