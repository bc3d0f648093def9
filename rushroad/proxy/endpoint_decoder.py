"""Decodes and validates endpoint lists in discovery's JSON form, part by part, while their text arrives."""

from __future__ import annotations

import json
import math
from collections import deque
from typing import Any, NamedTuple, cast

import msgspec

from rushroad.policy.events import Endpoint, EndpointState, EndpointUpdate, UpdateKind
from rushroad.policy.settings_reader import ProxySettings
from rushroad.proxy.address import NO_ADDRESS, Address, read_address
from rushroad.proxy.json_splitter import JsonRun, JsonSplitter
from rushroad.proxy.nonblocking_log import log

ENDPOINT_STATES = {
    "SERVING": EndpointState.READY,
    "DRAINING": EndpointState.DRAINING,
    "DELETED": EndpointState.REMOVED,
}
MAX_ENDPOINTS_PER_PART = 250  # handled in one turn of the event loop: about 2 ms
DEFAULT_MEMORY_LIMIT = 192 << 20  # bytes that a gateway may use
LIST_TEXT_SHARE = 0.25  # of the memory limit: the text of one list; its endpoint tables take about as much
BUFFERED_TEXT_SHARE = 0.17  # of the memory limit: text of one list that is buffered until its version comes
MEMORY_PER_ENDPOINT = 1024  # bytes of the memory limit for each endpoint of the longest list
VERSION_LIMIT = 1 << 63  # a larger one would make all later updates look old
# What reading keys and values of JSON of an unexpected shape raises.
UNEXPECTED_JSON_ERRORS = (ArithmeticError, AttributeError, KeyError, TypeError, ValueError)
# An endpoint and where it takes requests; NO_ADDRESS where it is sent nothing and its address may be missing.
# A plain tuple, as a NamedTuple of each of 97,000 endpoints makes decoding them a quarter slower.
ListedEndpoint = tuple[Endpoint, Address]


class MalformedEndpointListError(ValueError):
    """The text is not an endpoint list, or a list is too long for the memory limit."""


class EndpointEntry(msgspec.Struct, rename="camel", gc=False):
    """An endpoint as discovery writes it; defaults stand for keys that are left out."""

    instance_id: str
    lifecycle: str
    host_port: str = ""
    zone: str | None = None
    machine_type: str | None = None
    cell: int = 0
    weight: float = 1.0
    started_at_ms: int = 0


ENTRIES_DECODER = msgspec.json.Decoder(list[EndpointEntry])


def _parse_entries(text: bytes) -> list[Any]:
    """Parse entries with commas between them: EndpointEntry, or plain JSON where any is malformed."""
    array = b"[" + text + b"]"
    try:
        return ENTRIES_DECODER.decode(array)
    except msgspec.DecodeError:
        return cast(list[Any], json.loads(array))


def _coerce_entry(item: Any) -> EndpointEntry:
    """An entry of plain JSON, as far as its values can be converted to the types they should have."""
    return EndpointEntry(
        instance_id=str(item["instanceId"]),
        lifecycle=item["lifecycle"],
        host_port=item.get("hostPort", ""),
        zone=item.get("zone"),
        machine_type=item.get("machineType"),
        cell=int(item.get("cell", 0)),
        weight=float(item.get("weight", 1.0)),
        started_at_ms=int(item.get("startedAtMs", 0)),
    )


def _read_endpoint(item: Any, settings: ProxySettings) -> ListedEndpoint:
    """Read an entry. Raises one of UNEXPECTED_JSON_ERRORS where it can't be read.

    Of a draining or removed endpoint only the name has to be readable, as nothing more is sent to it.
    """
    decoded = isinstance(item, EndpointEntry)
    state = ENDPOINT_STATES[item.lifecycle if decoded else item["lifecycle"]]
    try:
        return _convert_entry(item if decoded else _coerce_entry(item), state, settings)
    except UNEXPECTED_JSON_ERRORS:
        if state is EndpointState.READY:
            raise
        name = str(item.instance_id if decoded else item["instanceId"])
        return Endpoint(name, state), NO_ADDRESS


def _convert_entry(entry: EndpointEntry, state: EndpointState, settings: ProxySettings) -> ListedEndpoint:
    if not math.isfinite(entry.weight):
        raise ValueError(f"expected a finite weight, got {entry.weight}")
    machine_type, zone = entry.machine_type, entry.zone
    endpoint = Endpoint(
        name=entry.instance_id,
        state=state,
        endpoint_class=0 if machine_type is None else settings.endpoint_class_indexes.get(machine_type, 0),
        zone=0 if zone is None else settings.zone_indexes.get(zone, 0),
        cell=entry.cell,
        started_at=entry.started_at_ms * 1_000,
        weight=entry.weight,
    )
    # A removed endpoint may have no address any more; its removal has to be taken all the same.
    address = NO_ADDRESS if state is EndpointState.REMOVED else read_address(entry.host_port)
    return endpoint, address


class ListHeader(NamedTuple):
    """What a list is, and its version."""

    kind: UpdateKind
    version: int


def _read_header(document: Any, kind: UpdateKind | None) -> ListHeader:
    """Read kind and version of a list without its entries; a kind that is given stands for the list's own."""
    version = document["generation"]
    if type(version) is not int or not 0 <= version < VERSION_LIMIT:
        raise MalformedEndpointListError(
            f"expected a version from 0 to 2**63 - 1 in 'generation', got {version!r}"
        )
    if document["instances"] != []:
        raise MalformedEndpointListError("expected an array in 'instances'")
    if kind is None:
        if not isinstance(document["reset"], bool):
            raise MalformedEndpointListError(f"expected true or false in 'reset', got {document['reset']!r}")
        kind = UpdateKind.SNAPSHOT if document["reset"] else UpdateKind.DELTA
    return ListHeader(kind, version)


class ListPart(NamedTuple):
    """A part of an endpoint list. Each part of a delta is an update of its own for the policy."""

    update: EndpointUpdate
    listed: list[ListedEndpoint]  # the update's endpoints, with their addresses
    ends_list: bool


class EndpointDecoder:
    """Decodes lists in discovery's form as their text arrives, in parts of up to MAX_ENDPOINTS_PER_PART.

    A part is returned as soon as it can be read. Where the rest of its list turns out to be malformed, or
    never arrives, the parts before stay valid; but such a list has no last part, so no endpoint is removed
    because the list does not name it, and its version is not taken over. Where `generation` and `reset` come
    behind the entries, unlike on the protocol page, the text of the entries is buffered until they do.
    """

    def __init__(
        self,
        settings: ProxySettings,
        memory_limit: int,
        kind: UpdateKind | None = None,
        path: tuple[str, ...] = (),
    ) -> None:
        """memory_limit: bytes that the gateway may use; kind: None where each list says its own.

        path: the keys that lead to the list where it is part of a larger object.
        """
        self._splitter = JsonSplitter((*path, "instances"))
        self._settings, self._kind, self._path = settings, kind, path
        self._max_text = int(memory_limit * LIST_TEXT_SHARE)  # bytes
        self._max_buffered_text = int(memory_limit * BUFFERED_TEXT_SHARE)  # bytes
        self._max_endpoints = memory_limit // MEMORY_PER_ENDPOINT
        self.needs_data = True  # all that can be decoded of the text fed so far has been returned
        self._start_list()

    def _start_list(self) -> None:
        self._header: ListHeader | None = None
        self._texts: deque[bytes] = deque()  # runs of entries that are not parsed yet
        self._items: list[Any] = []  # parsed entries that are not returned yet
        self._text_size = 0  # bytes of this list's entries so far
        self._is_first_part, self._all_received = True, False
        self._received = self._decoded = 0  # entries: parsed, and of these those that could be read

    def feed(self, data: bytes) -> None:
        """Add text that has arrived."""
        self._splitter.feed(data)
        self.needs_data = False

    def received_entries_or_heartbeat(self) -> bool:
        """True where entries of a list have arrived, and where no list is incomplete."""
        return self._text_size > 0 or self._splitter.is_between_documents()

    def is_truncated(self) -> bool:
        """True where a blank line, which stands only between lists, has come within one."""
        return self._splitter.has_blank_line()

    def next_part(self) -> ListPart | None:
        """Return the next part; None where more text is needed or, with needs_data False, another call.

        Raises MalformedEndpointListError where the text is not a list or the list is too long.
        """
        try:
            return self._next_part()
        except MalformedEndpointListError:
            raise
        except UNEXPECTED_JSON_ERRORS as error:
            raise MalformedEndpointListError(f"not an endpoint list: {error!r}") from error

    def _next_part(self) -> ListPart | None:
        if self._header is None or not (self._items or self._texts or self._all_received):
            run = self._splitter.next_run()
            self.needs_data = run is None
            if run is not None:
                self._add_run(run)
            if self._header is None or run is None:
                return None
        while self._texts and len(self._items) < MAX_ENDPOINTS_PER_PART:
            self._items += _parse_entries(self._texts.popleft())
        items, self._items = self._items[:MAX_ENDPOINTS_PER_PART], self._items[MAX_ENDPOINTS_PER_PART:]
        return self._decode_part(items, self._all_received and not self._items and not self._texts)

    def _add_run(self, run: JsonRun) -> None:
        document: Any = run.document
        for key in self._path:
            document = document[key]
        if run.ends_document or {"generation", "reset"} <= document.keys():
            header = _read_header(document, self._kind)
            if self._header not in (None, header):
                raise MalformedEndpointListError("a list with two versions")
            self._header = header
        self._all_received = run.ends_document
        if run.entries:
            self._texts.append(run.entries)
            self._text_size += len(run.entries)
            self._check_limits()

    def _check_limits(self) -> None:
        """Keep lists that are too long, or never end, from using up the memory."""
        if self._text_size > self._max_text or self._received > self._max_endpoints:
            raise MalformedEndpointListError(
                f"a list of over {self._max_endpoints} endpoints or {self._max_text} bytes: more than the "
                "memory limit allows"
            )
        if self._header is None and self._text_size > self._max_buffered_text:
            raise MalformedEndpointListError(
                f"a list with its version behind over {self._max_buffered_text} bytes of endpoints, which "
                "have to be buffered: more than the memory limit allows"
            )

    def _decode_part(self, items: list[Any], ends_list: bool) -> ListPart:
        assert self._header is not None
        kind, version = self._header
        listed = self._read_endpoints(items)
        is_first_part = self._is_first_part
        self._is_first_part = is_first_part and not listed
        if ends_list:
            if self._received and not self._decoded and kind is not UpdateKind.DELTA:
                raise MalformedEndpointListError("a full list without an endpoint that can be read")
            self._start_list()
        is_delta = kind is UpdateKind.DELTA  # only the parts of a full list belong together
        update = EndpointUpdate(
            kind,
            version,
            tuple([endpoint for endpoint, _ in listed]),
            is_first_part=is_first_part or is_delta,
            is_last_part=ends_list or is_delta,
        )
        return ListPart(update, listed, ends_list)

    def _read_endpoints(self, items: list[Any]) -> list[ListedEndpoint]:
        listed = []
        for item in items:
            try:
                listed.append(_read_endpoint(item, self._settings))
            except UNEXPECTED_JSON_ERRORS as error:
                text = str(item)[:200]
                log(f"endpoint list has an entry that can't be read; skipping it: {error!r} in {text}")
        self._received += len(items)
        self._decoded += len(listed)
        return listed
