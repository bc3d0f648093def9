"""JSON splitting: the entries are the same however the text is split into chunks."""

import json
from typing import Any

import pytest

from rushroad.proxy.json_splitter import JsonSplitter

TRICKY_ENTRIES: list[dict[str, Any]] = [
    {"instanceId": 'a "}],[{" \\', "hostPort": "h:1", "lifecycle": "SERVING", "more": {"x": [{}, "]}"]}},
    {"instanceId": "\u00e9\u20ac\U0001f600}", "hostPort": "h:2", "lifecycle": "SERVING", "instances": [1]},
    {"instanceId": '"instances": [', "hostPort": "h:3", "lifecycle": "SERVING", "weight": 1e3},
]


@pytest.mark.parametrize("chunk_size", [1, 2, 3, 50, 1 << 20])
@pytest.mark.parametrize("indent", [None, 1])
@pytest.mark.parametrize("before", [{}, {"note": '"instances": [', "other": {"instances": [{}], "x": None}}])
def test_entries_are_the_same_for_any_chunk_size(
    before: dict[str, Any], indent: int | None, chunk_size: int
) -> None:
    data = {
        **before,
        "generation": 1,
        "reset": True,
        "instances": TRICKY_ENTRIES * 2,
        "after": {"instances": ["}"]},
    }
    text = 2 * (json.dumps(data, indent=indent, ensure_ascii=False) + "\n").encode()
    splitter, names, ends = JsonSplitter(("instances",)), [], 0
    for start in range(0, len(text), chunk_size):
        splitter.feed(text[start : start + chunk_size])
        while (run := splitter.next_run()) is not None:
            names += [entry["instanceId"] for entry in json.loads(b"[" + run.entries + b"]")]
            ends += run.ends_document
    assert names == [entry["instanceId"] for entry in TRICKY_ENTRIES * 4]
    assert ends == 2
    assert splitter.is_between_documents()
