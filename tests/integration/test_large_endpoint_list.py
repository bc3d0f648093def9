"""Startup and memory use of the gateway with the endpoint list of the largest fleet."""

import contextlib
import json
import socket
from pathlib import Path

from tests.support.attempts import OK
from tests.support.gateway_process import configuration, connect, free_port, running_gateway
from tests.support.loopback import LOOPBACK, call
from tests.support.watch import RESPONSE_HEAD, chunk, list_entries, list_line

ENDPOINTS = 97_000
MAX_RESIDENT_KIB = 128_000


def test_process_starts_from_97000_endpoints_within_its_memory_limit(tmp_path: Path) -> None:
    with contextlib.ExitStack() as stack:
        # In place of discovery, the counter and the endpoint, in this order.
        peers = [stack.enter_context(socket.create_server((LOOPBACK, 0))) for _ in range(3)]
        discovery_port, counter_port, endpoint_port = (peer.getsockname()[1] for peer in peers)
        document = configuration(discovery_port, counter_port, free_port())
        fields = {"zone": "a", "machineType": "m2", "cell": 3, "weight": 1.0, "startedAtMs": 0}
        fields["hostPort"] = f"{LOOPBACK}:{endpoint_port}"
        entries = [entry | fields for entry in list_entries(ENDPOINTS)]
        cached_snapshot = json.dumps({"generation": 41, "reset": True, "instances": entries}, indent=2)
        # The cached snapshot replaces this placeholder as text, which keeps its indentation.
        document |= {"known": "KNOWN", "settings": document["settings"] | {"fleetSize": 4_900}}
        process = stack.enter_context(
            running_gateway(tmp_path, json.dumps(document).replace('"KNOWN"', cached_snapshot))
        )
        stack.callback(process.kill)
        watch = stack.enter_context(peers[0].accept()[0])
        assert watch.recv(4096).startswith(b"GET /v1/servers?watch=1&from=41 ")
        client = stack.enter_context(connect(int(document["listen"].split(":")[1]), process))
        client.sendall(call(1, b"c=lookup,t=basic,d=9000,units=1,spread=1,first=0"))
        attempt = stack.enter_context(peers[2].accept()[0])
        assert attempt.recv(4096) != b""
        attempt.sendall(OK)
        assert client.recv(64) == b"$5\r\nvalue\r\n"
        new_snapshot = cached_snapshot.replace('"generation": 41', '"generation": 42') + "\n"
        watch.sendall(
            RESPONSE_HEAD + chunk(new_snapshot.encode()) + chunk(b"\n" + list_line(43, lifecycle="DRAINING"))
        )
        watch.close()  # the gateway opens another watch when it has decoded all data
        while b"from=43 " not in stack.enter_context(peers[0].accept()[0]).recv(4096):
            pass
        status = Path(f"/proc/{process.pid}/status").read_text()
        assert int(status.split("VmHWM:")[1].split()[0]) < MAX_RESIDENT_KIB
