"""Endpoint lists as the watch decodes them: in parts, in pieces, malformed, and too long."""

import asyncio
import json
from typing import Any

import pytest

from rushroad.policy.events import Endpoint, EndpointState, EndpointUpdate, UpdateKind
from rushroad.proxy.endpoint_decoder import ENDPOINT_STATES, MAX_ENDPOINTS_PER_PART
from rushroad.proxy.json_splitter import RUN_BYTES, JsonRun, JsonSplitter
from tests.support.loopback import LOCAL
from tests.support.watch import (
    HEAD,
    LONG_LIST,
    LONG_LIST_VERSION,
    Watch,
    chunk,
    list_line,
    long_list,
    long_list_with_its_version_last,
    play_watch,
)

pytestmark = pytest.mark.usefixtures("fresh_log")
INDENTED = json.dumps(json.loads(list_line(42)), indent=2).encode() + b"\n"
CUT_OFF = INDENTED[: INDENTED.index(b'"zone"')]


def test_lists_are_decoded_however_their_lines_are_cut_into_chunks() -> None:
    async def scenario(watch: Watch) -> None:
        data = await watch.peer.answer(HEAD)
        assert data.startswith(b"GET /v1/servers?watch=1&from=41 HTTP/1.1\r\nHost: ")
        text = b"\n" + list_line(42) + b"\n" + list_line(43, lifecycle="DRAINING")
        for part in (text[:50], text[50:]):
            watch.peer.writers[0].write(chunk(part))
        update, listed = await watch.queue.get()
        endpoint = Endpoint(
            "s-1", EndpointState.READY, endpoint_class=1, zone=0, cell=3, started_at=5_000, weight=1.0
        )
        assert update == EndpointUpdate(UpdateKind.DELTA, 42, (endpoint,))
        assert listed == [(endpoint, (LOCAL, 81))]
        assert (await watch.next_update()).endpoints[0].state is EndpointState.DRAINING

    play_watch(scenario)


@pytest.mark.parametrize("indent", [None, 2])
@pytest.mark.parametrize("reset", [True, False])
def test_long_list_comes_in_parts_that_each_have_a_turn_of_the_loop(reset: bool, indent: int | None) -> None:
    async def scenario(watch: Watch) -> None:
        watch.count_turns()
        await watch.peer.answer(HEAD + chunk(long_list(reset=reset, indent=indent)))
        await watch.until_version(LONG_LIST_VERSION)
        updates = watch.updates
        assert watch.endpoint_names() == [f"s-{n}" for n in range(LONG_LIST)]
        assert max(len(update.endpoints) for update in updates) <= MAX_ENDPOINTS_PER_PART
        assert len(set(watch.turns)) == len(watch.turns) >= LONG_LIST / MAX_ENDPOINTS_PER_PART
        assert updates[-1].is_last_part
        listed = [endpoint for update in updates for endpoint in update.endpoints]
        draining = [endpoint.name for endpoint in listed if endpoint.state is EndpointState.DRAINING]
        assert draining == [f"s-{LONG_LIST - 1}"]
        if reset:
            assert {update.kind for update in updates} == {UpdateKind.SNAPSHOT}
            assert [update.is_first_part for update in updates] == [True] + [False] * (len(updates) - 1)
            assert [update.is_last_part for update in updates] == [False] * (len(updates) - 1) + [True]
        else:  # each is whole in itself
            assert {(u.kind, u.is_first_part, u.is_last_part) for u in updates} == {
                (UpdateKind.DELTA, True, True)
            }

    play_watch(scenario)


def test_many_short_lists_that_come_together_have_a_turn_of_the_loop_each() -> None:
    async def scenario(watch: Watch) -> None:
        watch.count_turns()
        await watch.peer.answer(HEAD + chunk(b"".join(list_line(42 + n) for n in range(100))))
        await watch.until_version(141)
        assert len(set(watch.turns)) == len(watch.turns) == 100

    play_watch(scenario)


def test_list_with_its_version_last_is_buffered_until_its_end(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario(watch: Watch) -> None:
        watch.count_turns()
        text = long_list_with_its_version_last()
        run_turns: list[int] = []
        next_run = JsonSplitter.next_run

        def record_turn(splitter: JsonSplitter) -> JsonRun | None:
            run = next_run(splitter)
            run_turns.extend([watch.turn] if run is not None else [])
            return run

        monkeypatch.setattr(JsonSplitter, "next_run", record_turn)
        await watch.peer.answer(HEAD + chunk(text[:-20]))
        while len(run_turns) < len(text) // RUN_BYTES:
            await asyncio.sleep(0)
        assert len(set(run_turns)) == len(run_turns)  # each has a turn of its own
        assert watch.discovery._watch is not None  # established, though it has passed nothing on
        assert not watch.updates
        watch.peer.writers[0].write(chunk(text[-20:]))
        await watch.until_version(LONG_LIST_VERSION)
        assert watch.endpoint_names() == [f"s-{n}" for n in range(LONG_LIST)]
        first, last = watch.updates[0], watch.updates[-1]
        assert [(first.is_first_part, first.is_last_part), (last.is_first_part, last.is_last_part)] == [
            (True, False),
            (False, True),
        ]

    play_watch(scenario)


@pytest.mark.parametrize(
    ("text", "min_passed_on"),
    [(long_list(), 4_000), (long_list_with_its_version_last(), 0)],
)
def test_list_too_long_for_the_memory_limit_ends_the_watch_with_one_log_line(
    text: bytes, min_passed_on: int, capfd: pytest.CaptureFixture[str]
) -> None:
    async def scenario(watch: Watch) -> None:
        await watch.peer.answer(HEAD + chunk(text))
        assert b"from=41 " in await watch.next_request()
        assert (len(watch.endpoint_names()) > min_passed_on) is (min_passed_on > 0)
        assert len(watch.endpoint_names()) < LONG_LIST / 2
        assert not any(update.is_last_part for update in watch.updates)

    play_watch(scenario, memory_limit=6 << 20)
    err = capfd.readouterr().err
    assert err.count("more than the memory limit allows") == err.count("\n") == 1


@pytest.mark.parametrize("step", [1, 7, 100_000])
@pytest.mark.parametrize("text", [INDENTED, b"\r\n" + INDENTED.replace(b"\n", b"\r\n"), INDENTED.strip()])
def test_list_may_be_indented_and_come_in_pieces(text: bytes, step: int) -> None:
    async def scenario(watch: Watch) -> None:
        await watch.peer.answer(HEAD)
        for start in range(0, len(text), step):
            watch.peer.writers[0].write(chunk(text[start : start + step]))
            await asyncio.sleep(0)
        assert (await watch.next_update()).endpoints[0].name == "s-1"
        watch.peer.writers[0].write(chunk(b"\n" + list_line(43)))
        assert (await watch.next_update()).version == 43

    play_watch(scenario)


@pytest.mark.parametrize(
    "text",
    [INDENTED + list_line(43), list_line(42).strip() + list_line(43), list_line(42) + list_line(43)[:-1]],
)
def test_lists_that_come_together_are_all_decoded(text: bytes) -> None:
    async def scenario(watch: Watch) -> None:
        await watch.peer.answer(HEAD + chunk(text))
        assert [(await watch.next_update()).version for _ in range(2)] == [42, 43]

    play_watch(scenario)


@pytest.mark.parametrize("rest", [b"\n\n", list_line(43), INDENTED, b"]}\n"])
def test_list_that_breaks_off_within_an_entry_ends_the_watch(rest: bytes) -> None:
    # What follows would be taken for the rest of it, for as long as heartbeats keep the watch open.
    async def scenario(watch: Watch) -> None:
        await watch.peer.answer(HEAD + chunk(list_line(42)) + chunk(CUT_OFF.rstrip(b" ")) + chunk(rest))
        assert (await watch.next_update()).version == 42
        assert b"from=42 " in await watch.next_request()
        assert watch.queue.empty()

    play_watch(scenario)


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
def test_malformed_list_changes_nothing_and_the_watch_is_opened_again(fields: dict[str, Any]) -> None:
    # Taken for what it seems, it would remove all endpoints, or make all later updates look old.
    async def scenario(watch: Watch) -> None:
        text = json.dumps(json.loads(list_line(42)) | fields).encode() + b"\n"
        await watch.peer.answer(HEAD + chunk(text))
        assert b"from=41 " in await watch.next_request()
        assert not watch.updates

    play_watch(scenario)


@pytest.mark.parametrize("lifecycle", ["DRAINING", "DELETED"])
@pytest.mark.parametrize(
    "fields", [{"hostPort": None}, {"hostPort": "x"}, {"weight": "x"}, {"cell": None}, {"zone": []}]
)
def test_draining_or_removed_endpoint_is_passed_on_whatever_its_other_fields(
    lifecycle: str, fields: dict[str, Any]
) -> None:
    async def scenario(watch: Watch) -> None:
        await watch.peer.answer(HEAD + chunk(list_line(44, lifecycle=lifecycle, **fields)))
        (endpoint,) = (await watch.next_update()).endpoints
        assert (endpoint.name, endpoint.state) == ("s-1", ENDPOINT_STATES[lifecycle])

    play_watch(scenario)


def test_removed_endpoint_needs_no_address() -> None:
    async def scenario(watch: Watch) -> None:
        await watch.peer.answer(HEAD + chunk(list_line(44, lifecycle="DELETED", hostPort="")))
        assert (await watch.next_update()).endpoints[0].state is EndpointState.REMOVED

    play_watch(scenario)


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
    # Otherwise the watch would end at that list, now and each time it resumes from the version before.
    async def scenario(watch: Watch) -> None:
        text = json.loads(list_line(44))
        text["instances"] += [text["instances"][0] | {"instanceId": "s-2"} | fields, 3]
        await watch.peer.answer(HEAD + chunk(json.dumps(text).encode() + b"\n") + chunk(list_line(45)))
        for _ in range(2):
            assert [endpoint.name for endpoint in (await watch.next_update()).endpoints] == ["s-1"]
        assert watch.discovery.version == 45

    play_watch(scenario)
    assert capfd.readouterr().err.count("entry that can't be read; skipping it") == 2
