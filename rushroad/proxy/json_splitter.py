"""Cuts JSON objects that each hold one long list into runs of its entries, while their text still comes."""

from __future__ import annotations

import json
import re
from typing import Any, NamedTuple

import msgspec

RUN = 32 * 1024  # bytes of entries cut at once: some hundred and fifty
MOST_ENTRY = 64 * 1024  # bytes of one entry; no server has so much to be told of
MOST_FRAME = 1024 * 1024  # bytes of an object without its list: a configuration is the largest
BLANK_LINE = re.compile(rb"\n[ \t\r]*\n")
SEPARATOR = re.compile(rb"[ \t\r\n]*(,?)[ \t\r\n]*")
CLOSE = re.compile(rb"[ \t\r\n]*\]")
COMMA = re.compile(r"[ \t\r\n]*,[ \t\r\n]*")
JSON = json.JSONDecoder()
VALUES = msgspec.json.Decoder(list[msgspec.Raw])  # reads only where each value ends


class Run(NamedTuple):
    """What has been cut: entries with commas between them, or nothing but the end."""

    frame: dict[str, Any]  # the object, with an empty list, as far as it has come
    text: bytes
    last: bool  # the object is whole


def _whole(text: str) -> tuple[dict[str, Any], int] | None:
    """The first object and where it ends; None where it is not whole. ValueError where it never can be."""
    try:
        frame, end = JSON.raw_decode(text)
    except json.JSONDecodeError as wrong:
        if wrong.pos < len(text) and not wrong.msg.startswith("Unterminated string"):
            raise
        return None
    return frame, end


def _walk(text: str) -> int:
    """Where the last whole entry ends, or the list does. ValueError where not even one can be read."""
    end = at = 0
    while at < len(text):
        try:
            _, end = JSON.raw_decode(text, at)
        except json.JSONDecodeError as wrong:
            if not end and wrong.pos < len(text) and not wrong.msg.startswith("Unterminated string"):
                raise
            break
        comma = COMMA.match(text, end)
        if comma is None:
            break
        at = comma.end()
    return end


def _entries_end(text: bytes) -> int:
    """How much of the text is whole entries. What is valid up to a brace as a list is cut rightly there."""
    end = text.rfind(b"}") + 1
    if not end:
        return 0
    text = text[:end]
    try:
        VALUES.decode(b"[" + text + b"]")
    except msgspec.DecodeError:
        whole = text.decode()
        return len(whole[: _walk(whole)].encode())
    return end


class Cutter:
    """Objects, one a line or indented over many; in each a list at the same place.

    All that is held is text that has not been cut yet, and the object's other keys.
    """

    def __init__(self, path: tuple[str, ...]) -> None:
        """path: the keys that lead to the list."""
        self._path = path
        self._key = re.compile(rb'"%b"[ \t\r\n]*:[ \t\r\n]*\[' % path[-1].encode())
        self._text = b""
        self._begin()

    def _begin(self) -> None:
        self._head = b""  # the object's text up to the list
        self._frame: dict[str, Any] = {}
        self._first = True  # the list's first entry is still to come
        self._closed = False  # its end has come

    def empty(self) -> bool:
        """True between objects."""
        return not self._head and not self._text

    def blank(self) -> bool:
        """True where a blank line stands in what has not been cut of an object."""
        return bool(BLANK_LINE.search(self._text))

    def feed(self, data: bytes) -> None:
        """More text."""
        self._text += data

    def next(self) -> Run | None:
        """What can be cut now; None where more has to come. ValueError where the text is spoilt."""
        if not self._head:
            self._text = self._text.lstrip()
            if not self._text:
                return None
            if not self._text.startswith(b"{"):
                raise ValueError("no object")
            if not self._find_list():
                return self._find_end()
        text = b"" if self._closed else self._cut()
        if self._closed and (end := self._find_end()) is not None:
            return end._replace(text=text)
        return Run(self._frame, text, False) if text else None

    def _find_list(self) -> bool:
        window = self._text[:MOST_FRAME]
        for found in self._key.finditer(window):
            try:
                frame = value = json.loads(window[: found.end()] + b"]" + b"}" * len(self._path))
                for key in self._path:
                    value = value[key]
            except (ValueError, LookupError, TypeError):
                continue  # the words stand elsewhere
            if value == []:
                self._head, self._frame = window[: found.end()] + b"]", frame
                self._text = self._text[found.end() :]
                return True
        return False

    def _find_end(self) -> Run | None:
        """The rest of an object whose list is cut, or one that has none."""
        window = self._text[:MOST_FRAME]
        text = (self._head + window[: window.rfind(b"}") + 1]).decode()
        found = _whole(text) if text.endswith("}") else None
        if found is None:
            if len(window) == MOST_FRAME:
                raise ValueError("too much for one object")
            return None
        frame, end = found
        self._text = self._text[len(text[:end].encode()) - len(self._head) :]
        self._begin()
        return Run(frame, b"", True)

    def _cut(self) -> bytes:
        """A run of whole entries, as far as they have come."""
        separator = SEPARATOR.match(self._text)
        assert separator is not None
        at = separator.end()
        if at == len(self._text):
            return b""
        comma = bool(separator[1])
        if self._text.startswith(b"]", at) and not comma:
            self._closed, self._text = True, self._text[at + 1 :]
            return b""
        if comma is self._first:
            raise ValueError("no comma between entries, or one before them")
        end = _entries_end(self._text[at : at + RUN]) or _entries_end(self._text[at : at + MOST_ENTRY])
        if not end:
            if len(self._text) - at >= MOST_ENTRY:
                raise ValueError("an entry without an end")
            return b""
        run = self._text[at : at + end]
        self._text, self._first = self._text[at + end :], False
        close = CLOSE.match(self._text)
        if close is not None:
            self._closed, self._text = True, self._text[close.end() :]
        return run
