"""Splits JSON documents with one long array each into runs of array entries, as their text arrives."""

from __future__ import annotations

import json
import re
from typing import Any, NamedTuple

import msgspec

MAX_RUN_BYTES = 32 * 1024  # about 150 endpoints
MAX_ENTRY_BYTES = 64 * 1024
MAX_DOCUMENT_BYTES = 1024 * 1024  # not counting the array; the largest document is a configuration
BLANK_LINE = re.compile(rb"\n[ \t\r]*\n")
SEPARATOR = re.compile(rb"[ \t\r\n]*(,?)[ \t\r\n]*")
ARRAY_END = re.compile(rb"[ \t\r\n]*\]")
COMMA = re.compile(r"[ \t\r\n]*,[ \t\r\n]*")
JSON_DECODER = json.JSONDecoder()
RAW_VALUES_DECODER = msgspec.json.Decoder(list[msgspec.Raw])  # finds where values end without decoding them


class MalformedJsonError(ValueError):
    """The text is not a sequence of JSON objects, or one of them is too long."""


class JsonRun(NamedTuple):
    """Complete entries of the array, the end of the document, or both."""

    document: dict[str, Any]  # as far as it has arrived, with an empty array
    entries: bytes  # comma-separated
    ends_document: bool


def _is_incomplete(error: json.JSONDecodeError, text: str) -> bool:
    """Return whether more text could make the text valid."""
    return error.pos >= len(text) or error.msg.startswith("Unterminated string")


def _decode_document(text: str) -> tuple[dict[str, Any], int] | None:
    """Return the first object and the position of its end; None if it is incomplete.

    Raises json.JSONDecodeError if no further text can make it valid.
    """
    try:
        document, end = JSON_DECODER.raw_decode(text)
    except json.JSONDecodeError as error:
        if not _is_incomplete(error, text):
            raise
        return None
    return document, end


def _find_last_entry_end(text: str) -> int:
    """Return the position of the end of the last complete entry; 0 if there is none.

    Raises json.JSONDecodeError if the first entry is malformed.
    """
    end = start = 0
    while start < len(text):
        try:
            _, end = JSON_DECODER.raw_decode(text, start)
        except json.JSONDecodeError as error:
            if not end and not _is_incomplete(error, text):
                raise
            break
        comma = COMMA.match(text, end)
        if comma is None:
            break
        start = comma.end()
    return end


def _complete_entries_size(text: bytes) -> int:
    """Return how many bytes of the text are complete entries."""
    size = text.rfind(b"}") + 1
    if not size:
        return 0
    text = text[:size]
    try:
        RAW_VALUES_DECODER.decode(b"[" + text + b"]")  # fails if the last brace does not end an entry
    except msgspec.DecodeError:
        decoded = text.decode()
        return len(decoded[: _find_last_entry_end(decoded)].encode())
    return size


class JsonSplitter:
    """Splits JSON objects, compact or indented, that each have an array at the same path.

    Only text that has not been split yet and the document's other keys are kept in memory.
    """

    def __init__(self, path: tuple[str, ...]) -> None:
        """Split the array at this path of keys."""
        self._path = path
        self._array_start = re.compile(rb'"%b"[ \t\r\n]*:[ \t\r\n]*\[' % path[-1].encode())
        self._text = b""
        self._start_document()

    def _start_document(self) -> None:
        self._head = b""  # the document's text up to the array, followed by an empty array
        self._document: dict[str, Any] = {}
        self._before_first_entry = True
        self._array_ended = False

    def is_between_documents(self) -> bool:
        """Return whether no document has begun, or the last one is complete."""
        return not self._head and not self._text

    def has_blank_line(self) -> bool:
        """Return whether the text that is not split yet contains a blank line."""
        return bool(BLANK_LINE.search(self._text))

    def feed(self, data: bytes) -> None:
        """Add text that has arrived."""
        self._text += data

    def next_run(self) -> JsonRun | None:
        """Return the next run; None if more text is needed.

        Raises MalformedJsonError, or another ValueError, if the text is malformed.
        """
        if not self._head:
            self._text = self._text.lstrip()
            if not self._text:
                return None
            if not self._text.startswith(b"{"):
                raise MalformedJsonError(f"expected a JSON object, got {self._text[:80]!r}")
            if not self._find_array():
                return self._find_document_end()
        entries = b"" if self._array_ended else self._split_entries()
        if self._array_ended and (last_run := self._find_document_end()) is not None:
            return last_run._replace(entries=entries)
        return JsonRun(self._document, entries, ends_document=False) if entries else None

    def _find_array(self) -> bool:
        """Split off the text up to the array; returns False if the array is missing or has not arrived."""
        window = self._text[:MAX_DOCUMENT_BYTES]
        for found in self._array_start.finditer(window):
            try:
                document = value = json.loads(window[: found.end()] + b"]" + b"}" * len(self._path))
                for key in self._path:
                    value = value[key]
            except (ValueError, LookupError, TypeError):
                continue  # the key is at another path, or inside a string
            if value == []:
                self._head, self._document = window[: found.end()] + b"]", document
                self._text = self._text[found.end() :]
                return True
        return False

    def _find_document_end(self) -> JsonRun | None:
        """Return the run that ends a document whose array is split or missing; None if it has not arrived."""
        window = self._text[:MAX_DOCUMENT_BYTES]
        text = (self._head + window[: window.rfind(b"}") + 1]).decode()
        found = _decode_document(text) if text.endswith("}") else None
        if found is None:
            if len(window) == MAX_DOCUMENT_BYTES:
                raise MalformedJsonError(
                    f"JSON object has over {MAX_DOCUMENT_BYTES} bytes, not counting its array"
                )
            return None
        document, end = found
        self._text = self._text[len(text[:end].encode()) - len(self._head) :]
        self._start_document()
        return JsonRun(document, b"", ends_document=True)

    def _split_entries(self) -> bytes:
        """Split off the complete entries that have arrived, up to MAX_RUN_BYTES or one longer entry."""
        separator = SEPARATOR.match(self._text)
        assert separator is not None
        start = separator.end()
        if start == len(self._text):
            return b""
        has_comma = bool(separator[1])
        if self._text.startswith(b"]", start) and not has_comma:
            self._array_ended, self._text = True, self._text[start + 1 :]
            return b""
        if has_comma is self._before_first_entry:
            raise MalformedJsonError("expected one comma between array entries and none before the first")
        size = _complete_entries_size(self._text[start : start + MAX_RUN_BYTES])
        size = size or _complete_entries_size(self._text[start : start + MAX_ENTRY_BYTES])
        if not size:
            if len(self._text) - start >= MAX_ENTRY_BYTES:
                raise MalformedJsonError(f"array entry has over {MAX_ENTRY_BYTES} bytes")
            return b""
        entries = self._text[start : start + size]
        self._text, self._before_first_entry = self._text[start + size :], False
        array_end = ARRAY_END.match(self._text)
        if array_end is not None:
            self._array_ended, self._text = True, self._text[array_end.end() :]
        return entries
