"""Tests of the stand-in for discovery."""

import pytest
from msgspec import structs

from rushroad.bench.commands import (
    Done,
    RemovedEndpoints,
    RemoveEndpoints,
    SilenceDiscovery,
    StandInAddresses,
    StartStandIns,
)
from rushroad.bench.worker import Worker
from rushroad.proxy.resp import encode_array
from tests.support.bench_peers import connect, next_message, open_watch, read_until


@pytest.mark.parametrize("indent", [None, 1])
def test_a_watch_receives_a_snapshot_and_then_each_change(
    stand_ins: Worker, start_command: StartStandIns, indent: int | None
) -> None:
    command = structs.replace(start_command, indent=indent)
    with open_watch(stand_ins.call(command, StandInAddresses).discovery, 0) as watch:
        first = next_message(watch)
        assert (first["generation"], first["reset"], len(first["instances"])) == (1, True, 12)
        assert {entry["lifecycle"] for entry in first["instances"]} == {"SERVING"}
        removed = stand_ins.call(RemoveEndpoints(count=4), RemovedEndpoints)
        assert removed == RemovedEndpoints(removed=4, used=0)
        change = next_message(watch)
        assert (change["generation"], change["reset"]) == (2, False)
        assert [entry["lifecycle"] for entry in change["instances"]] == ["DELETED"] * 4


def test_a_watch_resumes_from_its_generation_and_receives_the_changes_made_while_silent(
    stand_ins: Worker, addresses: StandInAddresses
) -> None:
    stand_ins.call(RemoveEndpoints(count=1), RemovedEndpoints)
    with open_watch(addresses.discovery, 1) as watch:
        assert next_message(watch)["generation"] == 2
        stand_ins.call(SilenceDiscovery(on=True), Done)
        stand_ins.call(RemoveEndpoints(count=1), RemovedEndpoints)
        with open_watch(addresses.discovery, 2) as later_watch:
            stand_ins.call(SilenceDiscovery(on=False), Done)
            assert next_message(watch)["generation"] == 3
            assert next_message(later_watch)["generation"] == 3


def test_endpoints_with_attempts_are_removed_first(stand_ins: Worker, addresses: StandInAddresses) -> None:
    with connect(addresses.first_rate_server.replace("127.64.0.0:", "127.64.0.9:")) as gateway:
        gateway.sendall(encode_array([b"CALL.GET", b"%016x" % 5, b"%016x" % 9, b"c=lookup,t=basic,d=900"]))
        read_until(gateway, b"inflight=1\r\n")
    with open_watch(addresses.discovery, 1) as watch:
        removed = stand_ins.call(RemoveEndpoints(count=2), RemovedEndpoints)
        assert removed == RemovedEndpoints(removed=2, used=1)
        instances = next_message(watch)["instances"]
        assert [entry["instanceId"] for entry in instances] == ["s-00000009", "s-00000000"]
