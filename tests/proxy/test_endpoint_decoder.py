"""Decoding of endpoint lists from a watch: in parts, from chunks, malformed, and too long."""

import asyncio
import json
from typing import Any

import pytest

from rushroad.policy.events import Endpoint, EndpointState, EndpointUpdate, UpdateKind
from rushroad.proxy.endpoint_decoder import ENDPOINT_STATES, MAX_ENDPOINTS_PER_PART
from rushroad.proxy.json_splitter import MAX_RUN_BYTES, JsonRun, JsonSplitter
from tests.support.loopback import LOOPBACK
from tests.support.watch import (
    LONG_LIST_SIZE,
    LONG_LIST_VERSION,
    RESPONSE_HEAD,
    WatchHarness,
    chunk,
    list_line,
    long_list,
    long_list_with_its_version_last,
    run_watch_scenario,
)

pytestmark = pytest.mark.usefixtures("fresh_log")
INDENTED = json.dumps(json.loads(list_line(42)), indent=2).encode() + b"\n"
CUT_OFF = INDENTED[: INDENTED.index(b'"zone"')]  # within the entry


def test_lists_are_decoded_however_their_lines_are_split_into_chunks() -> None:
    async def scenario(watch: WatchHarness) -> None:
        data = await watch.peer.respond(RESPONSE_HEAD)
        assert data.startswith(b"GET /v1/servers?watch=1&from=41 HTTP/1.1\r\nHost: ")
        text = b"\n" + list_line(42) + b"\n" + list_line(43, lifecycle="DRAINING")
        for part in (text[:50], text[50:]):
            watch.peer.writers[0].write(chunk(part))
        update, listed = await watch.pending_updates.get()
        endpoint = Endpoint(
            "s-1", EndpointState.READY, endpoint_class_index=1, zone=0, cell=3, started_at=5_000, weight=1.0
        )
        assert update == EndpointUpdate(UpdateKind.DELTA, 42, (endpoint,))
        assert listed == [(endpoint, (LOOPBACK, 81))]
        assert (await watch.next_update()).endpoints[0].state is EndpointState.DRAINING

    run_watch_scenario(scenario)


@pytest.mark.parametrize("indent", [None, 2])
@pytest.mark.parametrize("reset", [True, False])
def test_long_list_is_decoded_in_parts_in_separate_loop_iterations(reset: bool, indent: int | None) -> None:
    async def scenario(watch: WatchHarness) -> None:
        watch.count_loop_iterations()
        await watch.peer.respond(RESPONSE_HEAD + chunk(long_list(reset=reset, indent=indent)))
        await watch.wait_for_version(LONG_LIST_VERSION)
        updates = watch.updates
        assert watch.endpoint_names() == [f"s-{n}" for n in range(LONG_LIST_SIZE)]
        assert max(len(update.endpoints) for update in updates) <= MAX_ENDPOINTS_PER_PART
        assert (
            len(set(watch.update_iterations))
            == len(watch.update_iterations)
            >= LONG_LIST_SIZE / MAX_ENDPOINTS_PER_PART
        )
        assert updates[-1].is_last_part
        listed = [endpoint for update in updates for endpoint in update.endpoints]
        draining = [endpoint.name for endpoint in listed if endpoint.state is EndpointState.DRAINING]
        assert draining == [f"s-{LONG_LIST_SIZE - 1}"]
        if reset:
            assert {update.kind for update in updates} == {UpdateKind.SNAPSHOT}
            assert [update.is_first_part for update in updates] == [True] + [False] * (len(updates) - 1)
            assert [update.is_last_part for update in updates] == [False] * (len(updates) - 1) + [True]
        else:  # each part of a delta is complete in itself
            assert {(u.kind, u.is_first_part, u.is_last_part) for u in updates} == {
                (UpdateKind.DELTA, True, True)
            }

    run_watch_scenario(scenario)


def test_many_short_lists_received_at_once_are_decoded_in_separate_loop_iterations() -> None:
    async def scenario(watch: WatchHarness) -> None:
        watch.count_loop_iterations()
        await watch.peer.respond(RESPONSE_HEAD + chunk(b"".join(list_line(42 + n) for n in range(100))))
        await watch.wait_for_version(141)
        assert len(set(watch.update_iterations)) == len(watch.update_iterations) == 100

    run_watch_scenario(scenario)


def test_list_with_its_version_last_is_buffered_until_its_end(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario(watch: WatchHarness) -> None:
        watch.count_loop_iterations()
        text = long_list_with_its_version_last()
        run_iterations: list[int] = []
        next_run = JsonSplitter.next_run

        def record_iteration(splitter: JsonSplitter) -> JsonRun | None:
            run = next_run(splitter)
            run_iterations.extend([watch.loop_iteration] if run is not None else [])
            return run

        monkeypatch.setattr(JsonSplitter, "next_run", record_iteration)
        await watch.peer.respond(RESPONSE_HEAD + chunk(text[:-20]))
        while len(run_iterations) < len(text) // MAX_RUN_BYTES:
            await asyncio.sleep(0)
        assert len(set(run_iterations)) == len(run_iterations)  # separate iterations of the event loop
        assert watch.discovery._watch is not None  # established, although it has reported no update
        assert not watch.updates
        watch.peer.writers[0].write(chunk(text[-20:]))
        await watch.wait_for_version(LONG_LIST_VERSION)
        assert watch.endpoint_names() == [f"s-{n}" for n in range(LONG_LIST_SIZE)]
        first, last = watch.updates[0], watch.updates[-1]
        assert [(first.is_first_part, first.is_last_part), (last.is_first_part, last.is_last_part)] == [
            (True, False),
            (False, True),
        ]

    run_watch_scenario(scenario)


@pytest.mark.parametrize(
    ("text", "min_reported"),
    [(long_list(), 4_000), (long_list_with_its_version_last(), 0)],
)
def test_list_too_long_for_the_memory_limit_ends_the_watch_with_one_log_line(
    text: bytes, min_reported: int, capfd: pytest.CaptureFixture[str]
) -> None:
    async def scenario(watch: WatchHarness) -> None:
        await watch.peer.respond(RESPONSE_HEAD + chunk(text))
        assert b"from=41 " in await watch.next_request()
        assert (len(watch.endpoint_names()) > min_reported) is (min_reported > 0)
        assert len(watch.endpoint_names()) < LONG_LIST_SIZE / 2
        assert not any(update.is_last_part for update in watch.updates)

    run_watch_scenario(scenario, memory_limit=6 << 20)
    err = capfd.readouterr().err
    assert err.count("more than the memory limit allows") == err.count("\n") == 1


@pytest.mark.parametrize("chunk_size", [1, 7, 100_000])
@pytest.mark.parametrize("text", [INDENTED, b"\r\n" + INDENTED.replace(b"\n", b"\r\n"), INDENTED.strip()])
def test_list_may_be_indented_and_split_into_chunks(text: bytes, chunk_size: int) -> None:
    async def scenario(watch: WatchHarness) -> None:
        await watch.peer.respond(RESPONSE_HEAD)
        for start in range(0, len(text), chunk_size):
            watch.peer.writers[0].write(chunk(text[start : start + chunk_size]))
            await asyncio.sleep(0)
        assert (await watch.next_update()).endpoints[0].name == "s-1"
        watch.peer.writers[0].write(chunk(b"\n" + list_line(43)))
        assert (await watch.next_update()).version == 43

    run_watch_scenario(scenario)


@pytest.mark.parametrize(
    "text",
    [INDENTED + list_line(43), list_line(42).strip() + list_line(43), list_line(42) + list_line(43)[:-1]],
)
def test_lists_received_at_once_are_all_decoded(text: bytes) -> None:
    async def scenario(watch: WatchHarness) -> None:
        await watch.peer.respond(RESPONSE_HEAD + chunk(text))
        assert [(await watch.next_update()).version for _ in range(2)] == [42, 43]

    run_watch_scenario(scenario)


@pytest.mark.parametrize("rest", [b"\n\n", list_line(43), INDENTED, b"]}\n"])
def test_list_that_is_cut_off_within_an_entry_ends_the_watch(rest: bytes) -> None:
    # Otherwise the text that follows would be taken for its rest, while heartbeats keep the watch open.
    async def scenario(watch: WatchHarness) -> None:
        await watch.peer.respond(
            RESPONSE_HEAD + chunk(list_line(42)) + chunk(CUT_OFF.rstrip(b" ")) + chunk(rest)
        )
        assert (await watch.next_update()).version == 42
        assert b"from=42 " in await watch.next_request()
        assert watch.pending_updates.empty()

    run_watch_scenario(scenario)


@pytest.mark.parametrize(
    "fields",
    [
        {"reset": "false"},
        {"reset": None},
        {"generation": 1 << 80},
        {"generation": -1},
        {"generation": "43"},
        {"generation": 43.0},
        {"generation": True},
        {"instances": {}},
        {"instances": "none"},
        {"instances": None},
        {"reset": True, "instances": [3, {}]},
    ],
)
def test_malformed_list_changes_nothing_and_another_watch_is_opened(fields: dict[str, Any]) -> None:
    # If accepted, it would remove all endpoints, or make all later updates look old.
    async def scenario(watch: WatchHarness) -> None:
        text = json.dumps(json.loads(list_line(42)) | fields).encode() + b"\n"
        await watch.peer.respond(RESPONSE_HEAD + chunk(text))
        assert b"from=41 " in await watch.next_request()
        assert not watch.updates

    run_watch_scenario(scenario)


@pytest.mark.parametrize("lifecycle", ["DRAINING", "DELETED"])
@pytest.mark.parametrize(
    "fields", [{"hostPort": None}, {"hostPort": "x"}, {"weight": "x"}, {"cell": None}, {"zone": []}]
)
def test_draining_or_removed_endpoint_is_reported_even_if_its_other_fields_are_malformed(
    lifecycle: str, fields: dict[str, Any]
) -> None:
    async def scenario(watch: WatchHarness) -> None:
        await watch.peer.respond(RESPONSE_HEAD + chunk(list_line(44, lifecycle=lifecycle, **fields)))
        (endpoint,) = (await watch.next_update()).endpoints
        assert (endpoint.name, endpoint.state) == ("s-1", ENDPOINT_STATES[lifecycle])

    run_watch_scenario(scenario)


def test_removed_endpoint_needs_no_address() -> None:
    async def scenario(watch: WatchHarness) -> None:
        await watch.peer.respond(RESPONSE_HEAD + chunk(list_line(44, lifecycle="DELETED", hostPort="")))
        assert (await watch.next_update()).endpoints[0].state is EndpointState.REMOVED

    run_watch_scenario(scenario)


@pytest.mark.parametrize(
    "fields",
    [
        {"lifecycle": "ODD"},
        {"lifecycle": []},
        {"hostPort": "here"},
        {"hostPort": "h:99999"},
        {"weight": "x"},
        {"weight": float("nan")},
        {"cell": None},
        {"machineType": []},
        {"startedAtMs": float("inf")},
    ],
)
def test_malformed_entry_is_skipped_and_logged(
    fields: dict[str, Any], capfd: pytest.CaptureFixture[str]
) -> None:
    # Otherwise the watch would end at that list each time it resumes from the previous version.
    async def scenario(watch: WatchHarness) -> None:
        text = json.loads(list_line(44))
        text["instances"] += [text["instances"][0] | {"instanceId": "s-2"} | fields, 3]
        await watch.peer.respond(
            RESPONSE_HEAD + chunk(json.dumps(text).encode() + b"\n") + chunk(list_line(45))
        )
        for _ in range(2):
            assert [endpoint.name for endpoint in (await watch.next_update()).endpoints] == ["s-1"]
        assert watch.discovery.version == 45

    run_watch_scenario(scenario)
    assert capfd.readouterr().err.count("entry that can't be read; skipping it") == 2
