"""Reading of the configuration file."""

import asyncio
import json
from pathlib import Path

import pytest

from rushroad.proxy.configuration import READ_BYTES, ConfigurationError, read_document
from tests.support.loopback import run
from tests.support.watch import LONG_LIST, list_entries


def test_configuration_is_read_in_pieces_that_each_have_a_turn_and_without_its_endpoint_list(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    # At SIGHUP requests go on, and there may be no memory for the whole text.
    known = {"generation": 1, "instances": list_entries(LONG_LIST)}
    text = json.dumps({"known": known, "listen": "here"}) + "\n"
    turns: list[int] = []

    async def scenario() -> None:
        task = asyncio.create_task(read_document())
        while not task.done():
            turns.append(1)
            await asyncio.sleep(0)
        assert await task == {"known": {"generation": 1, "instances": []}, "listen": "here"}

    monkeypatch.setenv("EDGE_CONFIG", str(tmp_path / "config.json"))
    (tmp_path / "config.json").write_text(text)
    run(scenario)
    assert len(turns) >= len(text) // READ_BYTES
    (tmp_path / "config.json").write_text(text + "{}")
    with pytest.raises(ConfigurationError, match="one whole JSON object"):
        run(scenario)
