"""The bench's stand-ins: what they say on the wire, and that they end with their input."""

import json
import socket
from collections.abc import Iterator
from typing import Any

import pytest

from rushroad.bench.worker import Worker
from rushroad.proxy.resp import pack

SIZES = {"servers": 12, "work_s": 0.0, "reports": True, "shards": 1, "indent": None, "seed": 7}


@pytest.fixture
def worker() -> Iterator[Worker]:
    with Worker("rushroad.bench.stand_ins") as started:
        yield started


def connect(address: str) -> socket.socket:
    host, _, port = address.partition(":")
    return socket.create_connection((host, int(port)), timeout=30)


def read_until(peer: socket.socket, end: bytes) -> bytes:
    data = b""
    while end not in data:
        part = peer.recv(1 << 16)
        assert part, data
        data += part
    return data


def watch(address: str, generation: int) -> socket.socket:
    peer = connect(address)
    request = f"GET /v1/servers?watch=1&from={generation} HTTP/1.1\r\nHost: {address}\r\n\r\n"
    peer.sendall(request.encode())
    return peer


def next_object(peer: socket.socket) -> Any:
    """The next object of a watch; heartbeats are skipped."""
    data = read_until(peer, b"}\n\r\n")
    return json.loads(data[data.index(b"{") : data.rindex(b"}") + 1])


@pytest.mark.parametrize("indent", [None, 1])
def test_a_watch_is_told_the_whole_list_and_then_each_change(worker: Worker, indent: int | None) -> None:
    with watch(worker.order(SIZES | {"indent": indent})["discovery"], 0) as peer:
        first = next_object(peer)
        assert (first["generation"], first["reset"], len(first["instances"])) == (1, True, 12)
        assert {item["lifecycle"] for item in first["instances"]} == {"SERVING"}
        assert worker.order({"do": "remove", "count": 4}) == {"gone": 4, "used": 0}
        change = next_object(peer)
        assert (change["generation"], change["reset"]) == (2, False)
        assert [item["lifecycle"] for item in change["instances"]] == ["DELETED"] * 4


def test_a_watch_goes_on_from_its_generation_and_is_told_after_a_silence(worker: Worker) -> None:
    address = worker.order(SIZES)["discovery"]
    worker.order({"do": "remove", "count": 1})
    with watch(address, 1) as peer:
        assert next_object(peer)["generation"] == 2
        worker.order({"do": "silence", "on": True})
        worker.order({"do": "remove", "count": 1})
        with watch(address, 2) as late:
            worker.order({"do": "silence", "on": False})
            assert next_object(peer)["generation"] == 3
            assert next_object(late)["generation"] == 3


def test_the_counter_adds_turns_away_and_knows_no_other_calls(worker: Worker) -> None:
    with connect(worker.order(SIZES)["counter"]) as peer:
        peer.sendall(b"bump a 2.5 4000\r\nbump a -1 4000\r\nping\r\nnonsense\r\n")
        assert read_until(peer, b"error\r\n") == b"ok 2.5\r\nok 1.5\r\npong\r\nerror\r\n"
        worker.order({"do": "counter", "mode": "busy", "shards": 1})
        peer.sendall(b"bump a 1 4000\r\n")
        assert read_until(peer, b"\r\n") == b"busy\r\n"
        figures = worker.order({"do": "figures"})["counter"]
        assert (figures["calls"], figures["pings"], figures["bytes_in"]) == (4, 1, 64)


def test_a_slow_shard_keeps_the_order_of_the_answers(worker: Worker) -> None:
    with connect(worker.order(SIZES)["counter"]) as peer:
        worker.order({"do": "counter", "mode": "slow", "shards": 1, "delay_s": 0.02})
        peer.sendall(b"bump a 1 4000\r\nping\r\n")
        assert read_until(peer, b"pong\r\n") == b"ok 1\r\npong\r\n"


def test_a_rate_server_serves_in_order_and_counts_attempts(worker: Worker) -> None:
    with connect(worker.order(SIZES)["first_server"]) as peer:
        terms = b"c=lookup,t=basic,d=900,units=1,spread=1,first=0"
        words = [b"CALL.GET", b"%016x" % 5, b"%016x" % 9, terms]
        peer.sendall(pack(words) + pack([b"PING"]) + pack([b"CALL.GET"]))
        items = read_until(peer, b"-SYNTAX\r\n").split(b"\r\n")
        assert items[0] == b"*3"
        assert items[2].startswith(b"%016x " % 9)  # whose value it is; how long it took follows
        assert items[3:] == [b"$-1", b"$10", b"inflight=1", b"+PONG", b"-SYNTAX", b""]
        figures = worker.order({"do": "figures"})["servers"]
        assert figures == {"attempts": 1, "connects": 1, "open": 1, "syntax": 1}


def test_servers_that_have_had_attempts_are_removed_first(worker: Worker) -> None:
    at = worker.order(SIZES)
    with connect(at["first_server"].replace("127.64.0.0:", "127.64.0.9:")) as peer:
        peer.sendall(pack([b"CALL.GET", b"%016x" % 5, b"%016x" % 9, b"c=lookup,t=basic,d=900"]))
        read_until(peer, b"inflight=1\r\n")
    with watch(at["discovery"], 1) as peer:
        assert worker.order({"do": "remove", "count": 2}) == {"gone": 2, "used": 1}
        assert [item["instanceId"] for item in next_object(peer)["instances"]] == ["s-00000009", "s-00000000"]


def test_the_process_ends_when_its_input_does(worker: Worker) -> None:
    worker.order(SIZES)
    assert worker.process.stdin is not None
    worker.process.stdin.close()
    assert worker.process.wait(30) == 0
