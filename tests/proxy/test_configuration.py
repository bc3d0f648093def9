"""Reading and validation of the configuration file."""

import asyncio
import json
import re
from pathlib import Path

import pytest

from rushroad.proxy.configuration import (
    READ_BYTES,
    RESERVED_SOCKETS,
    Configuration,
    ConfigurationError,
    read_configuration,
    read_document,
)
from rushroad.proxy.resp import MAX_MESSAGE_BYTES
from tests.support.gateway_process import GATEWAY_HOST, configuration
from tests.support.loopback import run
from tests.support.watch import LONG_LIST_SIZE, list_entries


def test_configuration_is_read_in_chunks_and_without_its_endpoint_list(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    # A reload must not block requests, and there may be too little memory for the whole text.
    known = {"generation": 1, "instances": list_entries(LONG_LIST_SIZE)}
    text = json.dumps({"known": known, "listen": "here"}) + "\n"
    iterations: list[int] = []

    async def scenario() -> None:
        task = asyncio.create_task(read_document())
        while not task.done():
            iterations.append(1)
            await asyncio.sleep(0)
        assert await task == {"known": {"generation": 1, "instances": []}, "listen": "here"}

    monkeypatch.setenv("EDGE_CONFIG", str(tmp_path / "config.json"))
    (tmp_path / "config.json").write_text(text)
    run(scenario)
    assert len(iterations) >= len(text) // READ_BYTES
    (tmp_path / "config.json").write_text(text + "{}")
    with pytest.raises(ConfigurationError, match="not a single complete JSON object"):
        run(scenario)


def load(tmp_path: Path, monkeypatch: pytest.MonkeyPatch, text: str) -> Configuration:
    """Write this text to the configuration file and read it."""
    read: list[Configuration] = []

    async def scenario() -> None:
        read.append(await read_configuration())

    (tmp_path / "config.json").write_text(text)
    monkeypatch.setenv("EDGE_CONFIG", str(tmp_path / "config.json"))
    run(scenario)
    return read[0]


def test_configuration_is_read_into_typed_values(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    read = load(tmp_path, monkeypatch, json.dumps(configuration(1, 2, 3)))
    assert read.listen == (GATEWAY_HOST, 3)
    assert read.discovery == ("127.0.0.1", 1)
    assert read.counter == ("127.0.0.1", 2)
    assert read.seed == 0x8C1F
    assert read.memory_limit == 192_000_000
    assert read.max_upstream_connections == (1024 - RESERVED_SOCKETS) // 4
    assert read.max_client_connections == (1024 - RESERVED_SOCKETS) * 3 // 4


def test_connections_to_endpoints_are_limited_by_memory_too(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against: long commands and responses, one on each connection, that exceed the memory limit.
    limits = {"limits": {"cores": 1.0, "memory_mb": 48, "sockets": 1024}}
    read = load(tmp_path, monkeypatch, json.dumps(configuration(1, 2, 3) | limits))
    assert 64 <= read.max_upstream_connections <= 48_000_000 / 8 / MAX_MESSAGE_BYTES


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ("", "the configuration is not a single complete JSON object"),
        ("{nope", "the configuration is not a single complete JSON object"),
        ("[]", "the configuration is not a single complete JSON object: expected a JSON object"),
        ("{}", "the configuration lacks the key 'settings'"),
        (json.dumps(configuration(1, 1, 1) | {"limits": {}}), "the configuration lacks the key 'sockets'"),
        (json.dumps(configuration(1, 1, 1) | {"limits": 3}), "the configuration has an invalid value"),
        (
            json.dumps(configuration(1, 1, 1) | {"listen": "h:0"}),
            "the configuration has an invalid value: expected host:port with a port from 1 to 65535, got",
        ),
        (json.dumps(configuration(1, 1, 1) | {"seed": "xyz"}), "the configuration has an invalid value"),
    ],
)
def test_invalid_configuration_raises_an_error_that_says_what_is_wrong(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, text: str, message: str
) -> None:
    with pytest.raises(ConfigurationError, match=f"^{re.escape(message)}"):
        load(tmp_path, monkeypatch, text)


def test_unset_environment_variable_is_a_configuration_error(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.delenv("EDGE_CONFIG", raising=False)
    with pytest.raises(ConfigurationError, match="EDGE_CONFIG is not set"):
        asyncio.run(read_document())
