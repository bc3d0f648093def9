"""Decodes and validates endpoint lists in discovery's JSON format, part by part, as their text arrives."""

from __future__ import annotations

import json
import math
from collections import deque
from typing import Any, NamedTuple, cast

import msgspec

from rushroad.policy.events import Endpoint, EndpointState, EndpointUpdate, UpdateKind
from rushroad.policy.settings_reader import ProxySettings
from rushroad.proxy.address import NO_ADDRESS, Address, parse_address
from rushroad.proxy.json_splitter import JsonRun, JsonSplitter
from rushroad.proxy.nonblocking_log import log

ENDPOINT_STATES = {
    "SERVING": EndpointState.READY,
    "DRAINING": EndpointState.DRAINING,
    "DELETED": EndpointState.REMOVED,
}
MAX_ENDPOINTS_PER_PART = 250  # processed in one event loop iteration, in about 2 ms
DEFAULT_MEMORY_LIMIT_BYTES = 192 << 20  # of a gateway process
# Fractions of the memory limit for the text of one list, and for text that is buffered until the list's
# version arrives. The endpoint tables built from a list take about as much memory as its text.
LIST_TEXT_FRACTION = 0.25
BUFFERED_TEXT_FRACTION = 0.17
MEMORY_PER_ENDPOINT_BYTES = 1024  # of the memory limit, for each endpoint that a list may have
VERSION_LIMIT = 1 << 63  # a larger version would make all later updates look old
# Raised when keys and values of JSON with an unexpected structure are read.
UNEXPECTED_JSON_ERRORS = (ArithmeticError, AttributeError, KeyError, TypeError, ValueError)
# An endpoint and its address, or NO_ADDRESS if it gets no requests and its address may be missing. A plain
# tuple, because decoding 97,000 endpoints into a NamedTuple each is a quarter slower.
ListedEndpoint = tuple[Endpoint, Address]


class MalformedEndpointListError(ValueError):
    """The text is not an endpoint list, or the list is too long for the memory limit."""


class EndpointEntry(msgspec.Struct, rename="camel", gc=False):
    """An endpoint as discovery sends it, with the defaults of keys that are left out."""

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
    """Parse comma-separated entries into EndpointEntry, or into plain JSON values if any is malformed."""
    array = b"[" + text + b"]"
    try:
        return ENTRIES_DECODER.decode(array)
    except msgspec.DecodeError:
        return cast(list[Any], json.loads(array))


def _coerce_entry(entry: Any) -> EndpointEntry:
    """Convert an entry in plain JSON to EndpointEntry, and its values to the expected types.

    Raises one of UNEXPECTED_JSON_ERRORS if that is impossible.
    """
    return EndpointEntry(
        instance_id=str(entry["instanceId"]),
        lifecycle=entry["lifecycle"],
        host_port=entry.get("hostPort", ""),
        zone=entry.get("zone"),
        machine_type=entry.get("machineType"),
        cell=int(entry.get("cell", 0)),
        weight=float(entry.get("weight", 1.0)),
        started_at_ms=int(entry.get("startedAtMs", 0)),
    )


def _read_endpoint(entry: Any, settings: ProxySettings) -> ListedEndpoint:
    """Read an entry. Raises one of UNEXPECTED_JSON_ERRORS if it can't be read.

    For a draining or removed endpoint only the name has to be readable, as it gets no more requests.
    """
    is_decoded = isinstance(entry, EndpointEntry)
    state = ENDPOINT_STATES[entry.lifecycle if is_decoded else entry["lifecycle"]]
    try:
        return _convert_entry(entry if is_decoded else _coerce_entry(entry), state, settings)
    except UNEXPECTED_JSON_ERRORS:
        if state is EndpointState.READY:
            raise
        name = str(entry.instance_id if is_decoded else entry["instanceId"])
        return Endpoint(name, state), NO_ADDRESS


def _convert_entry(entry: EndpointEntry, state: EndpointState, settings: ProxySettings) -> ListedEndpoint:
    if not math.isfinite(entry.weight):
        raise ValueError(f"expected a finite weight, got {entry.weight}")
    machine_type, zone = entry.machine_type, entry.zone
    endpoint = Endpoint(
        name=entry.instance_id,
        state=state,
        endpoint_class_index=0
        if machine_type is None
        else settings.endpoint_class_indexes.get(machine_type, 0),
        zone=0 if zone is None else settings.zone_indexes.get(zone, 0),
        cell=entry.cell,
        started_at=entry.started_at_ms * 1_000,
        weight=entry.weight,
    )
    # A removed endpoint may no longer have an address; its removal is still valid.
    address = NO_ADDRESS if state is EndpointState.REMOVED else parse_address(entry.host_port)
    return endpoint, address


class ListHeader(NamedTuple):
    """The kind and the version of an endpoint list."""

    kind: UpdateKind
    version: int


def _read_header(document: Any, kind: UpdateKind | None) -> ListHeader:
    """Read the kind and version of a list without its entries; a given kind overrides the list's own."""
    version = document["generation"]
    if type(version) is not int or not 0 <= version < VERSION_LIMIT:
        raise MalformedEndpointListError(
            f"expected a version from 0 to 2**63 - 1 in 'generation', got {version!r}"
        )
    if document["instances"] != []:
        raise MalformedEndpointListError(
            f"expected an array in 'instances', got {type(document['instances']).__name__}"
        )
    if kind is None:
        if not isinstance(document["reset"], bool):
            raise MalformedEndpointListError(f"expected true or false in 'reset', got {document['reset']!r}")
        kind = UpdateKind.SNAPSHOT if document["reset"] else UpdateKind.DELTA
    return ListHeader(kind, version)


class ListPart(NamedTuple):
    """A part of an endpoint list. The policy receives each part of a delta as a separate update."""

    update: EndpointUpdate
    listed: list[ListedEndpoint]  # the update's endpoints, with their addresses
    ends_list: bool


class EndpointDecoder:
    """Decodes lists in discovery's format as their text arrives, in parts of up to MAX_ENDPOINTS_PER_PART.

    A part is returned as soon as it can be read. If the rest of its list turns out to be malformed or never
    arrives, the parts already returned stay valid. Such a list has no last part, so it removes no endpoint
    that it does not name, and its version is not adopted. If `generation` and `reset` follow the entries,
    unlike in the protocol specification, the text of the entries is buffered until they arrive.
    """

    def __init__(
        self,
        settings: ProxySettings,
        memory_limit: int,
        kind: UpdateKind | None = None,
        path: tuple[str, ...] = (),
    ) -> None:
        """Decode lists of the given kind, or of the kind that each list states if `kind` is None.

        memory_limit: bytes that the gateway may use; path: keys that lead to the list in a larger object.
        """
        self._splitter = JsonSplitter((*path, "instances"))
        self._settings, self._kind, self._path = settings, kind, path
        self._max_text_bytes = int(memory_limit * LIST_TEXT_FRACTION)
        self._max_buffered_text_bytes = int(memory_limit * BUFFERED_TEXT_FRACTION)
        self._max_endpoints = memory_limit // MEMORY_PER_ENDPOINT_BYTES
        self.needs_data = True  # all parts that can be decoded from the text so far have been returned
        self._start_list()

    def _start_list(self) -> None:
        self._header: ListHeader | None = None
        self._runs: deque[bytes] = deque()  # of entries that are not parsed yet
        self._entries: list[Any] = []  # parsed, not returned yet
        self._text_bytes = 0  # of this list's entries so far
        # Whether the next part is the first, and whether the list's text has arrived up to its end.
        self._is_first_part, self._all_received = True, False
        self._parsed_count = self._decoded_count = 0  # entries parsed, and entries that could be read

    def feed(self, data: bytes) -> None:
        """Add text that has arrived."""
        self._splitter.feed(data)
        self.needs_data = False

    def received_entries_or_heartbeat(self) -> bool:
        """Return whether entries of the current list have arrived, or no list is incomplete."""
        return self._text_bytes > 0 or self._splitter.is_between_documents()

    def is_truncated(self) -> bool:
        """Return whether a blank line, which is only valid between lists, has arrived inside a list."""
        return self._splitter.has_blank_line()

    def next_part(self) -> ListPart | None:
        """Return the next part, or None; after None, call again unless needs_data is true.

        Raises MalformedEndpointListError if the text is not a list or the list is too long.
        """
        try:
            return self._next_part()
        except MalformedEndpointListError:
            raise
        except UNEXPECTED_JSON_ERRORS as error:
            raise MalformedEndpointListError(f"not an endpoint list: {error!r}") from error

    def _next_part(self) -> ListPart | None:
        if self._header is None or not (self._entries or self._runs or self._all_received):
            run = self._splitter.next_run()
            self.needs_data = run is None
            if run is not None:
                self._add_run(run)
            if self._header is None or run is None:
                return None
        while self._runs and len(self._entries) < MAX_ENDPOINTS_PER_PART:
            self._entries += _parse_entries(self._runs.popleft())
        entries, self._entries = (
            self._entries[:MAX_ENDPOINTS_PER_PART],
            self._entries[MAX_ENDPOINTS_PER_PART:],
        )
        return self._decode_part(entries, self._all_received and not self._entries and not self._runs)

    def _add_run(self, run: JsonRun) -> None:
        document: Any = run.document
        for key in self._path:
            document = document[key]
        if run.ends_document or {"generation", "reset"} <= document.keys():
            header = _read_header(document, self._kind)
            if self._header not in (None, header):
                raise MalformedEndpointListError(
                    f"endpoint list states two versions or kinds: {self._header}, then {header}"
                )
            self._header = header
        self._all_received = run.ends_document
        if run.entries:
            self._runs.append(run.entries)
            self._text_bytes += len(run.entries)
            self._check_limits()

    def _check_limits(self) -> None:
        """Keep lists that are too long, or never end, from exhausting the memory."""
        if self._text_bytes > self._max_text_bytes or self._parsed_count > self._max_endpoints:
            raise MalformedEndpointListError(
                f"endpoint list has over {self._max_endpoints} endpoints or {self._max_text_bytes} bytes: "
                "more than the memory limit allows"
            )
        if self._header is None and self._text_bytes > self._max_buffered_text_bytes:
            raise MalformedEndpointListError(
                f"endpoint list has over {self._max_buffered_text_bytes} bytes of endpoints before its "
                "version, which have to be buffered: more than the memory limit allows"
            )

    def _decode_part(self, entries: list[Any], ends_list: bool) -> ListPart:
        assert self._header is not None
        kind, version = self._header
        listed = self._read_endpoints(entries)
        is_first_part = self._is_first_part
        self._is_first_part = is_first_part and not listed
        if ends_list:
            if self._parsed_count and not self._decoded_count and kind is not UpdateKind.DELTA:
                raise MalformedEndpointListError(
                    f"snapshot has {self._parsed_count} entries, none of which can be read"
                )
            self._start_list()
        is_delta = kind is UpdateKind.DELTA  # each part of a delta is complete in itself
        update = EndpointUpdate(
            kind,
            version,
            tuple([endpoint for endpoint, _ in listed]),
            is_first_part=is_first_part or is_delta,
            is_last_part=ends_list or is_delta,
        )
        return ListPart(update, listed, ends_list)

    def _read_endpoints(self, entries: list[Any]) -> list[ListedEndpoint]:
        listed = []
        for entry in entries:
            try:
                listed.append(_read_endpoint(entry, self._settings))
            except UNEXPECTED_JSON_ERRORS as error:
                text = str(entry)[:200]
                log(f"endpoint list has an entry that can't be read; skipping it: {error!r} in {text}")
        self._parsed_count += len(entries)
        self._decoded_count += len(listed)
        return listed
