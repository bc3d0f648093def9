"""One command of a client: its words are validated and mapped to our terms here, and it is answered."""

from __future__ import annotations

import math
import re
from dataclasses import dataclass
from typing import TYPE_CHECKING

from rushroad.policy.settings import Idempotency, Settings
from rushroad.policy.settings_reader import ProxySettings
from rushroad.proxy import resp

if TYPE_CHECKING:
    from rushroad.proxy.client_connection import ClientConnection

CALL_GET, CALL_POST, PING = b"CALL.GET", b"CALL.POST", b"PING"
CALL_WORD_COUNTS = {CALL_GET: 4, CALL_POST: 5}  # by name, which is one of the words
TENANT_LIMIT = 1 << 33  # tenants are numbered below this
TENANT_PATTERN = re.compile(rb"[0-9a-f]{16}")
ID_PATTERN = re.compile(rb"[0-9A-Za-z._:-]{1,64}")
TEXT_PATTERN = re.compile(rb"[^\0- ]{1,128}")
INTEGER_PATTERN = re.compile(rb"\d{1,9}")
OPTION_PATTERNS = {  # by name, in the operators' words; a call may have no other options
    b"c": TEXT_PATTERN,
    b"t": TEXT_PATTERN,
    b"k": TEXT_PATTERN,
    b"d": INTEGER_PATTERN,
    b"r": re.compile(rb"[01]"),
    b"units": re.compile(rb"\d{1,6}(\.\d{1,9})?"),
    b"spread": INTEGER_PATTERN,
    b"first": INTEGER_PATTERN,
}


class InvalidCommandError(ValueError):
    """A client's command is not valid; the message is the text of its error answer."""


@dataclass(frozen=True, slots=True)
class CommandSchema:
    """What the calls of this deployment may contain."""

    class_indexes: dict[bytes, int]  # request classes by name
    duplicates_unsafe: tuple[bool, ...]  # by request class: its requests have to come as CALL.POST
    plan_indexes: dict[bytes, int]  # plans by name
    max_units: float  # of one request
    fleet_size: int  # gateways
    longest_deadline: float = 0.0  # seconds; of all request classes

    @classmethod
    def from_settings(cls, settings: Settings, proxy_settings: ProxySettings) -> CommandSchema:
        """Return the schema of a deployment with these settings."""
        classes = settings.request_classes
        return cls(
            {name.encode(): index for name, index in proxy_settings.class_indexes.items()},
            tuple(item.idempotency is not Idempotency.IDEMPOTENT for item in classes),
            {name.encode(): index for name, index in proxy_settings.plan_indexes.items()},
            settings.max_units,
            settings.fleet_size,
            max(item.deadline for item in classes) / 1e6,
        )


def parse_options(text: bytes) -> dict[bytes, bytes]:
    """Return the options of a call by their names; raise InvalidCommandError where one is not valid."""
    options: dict[bytes, bytes] = {}
    for item in text.split(b","):
        name, _, value = item.partition(b"=")
        pattern = OPTION_PATTERNS.get(name)
        if name in options or pattern is None or not pattern.fullmatch(value):
            raise InvalidCommandError("bad list")
        options[name] = value
    return options


class ClientCommand:
    """One command of a client, from its parsing to its answer; a call is a request to the engine."""

    __slots__ = (
        "answer",
        "arrived_at",
        "class_index",
        "connection",
        "entry_points",
        "first_entry",
        "id",
        "is_retry",
        "plan_index",
        "request_id",
        "tenant",
        "time_remaining_ms",
        "units",
        "words",
    )

    def __init__(self, connection: ClientConnection, arrived_at: float) -> None:
        self.connection = connection
        self.arrived_at = arrived_at  # when its last byte arrived, at the latest; seconds of the loop's clock
        self.answer: bytes | None = None
        self.request_id = 0  # the engine's, while it owes the answer; else 0
        self.words: list[bytes] = []

    def parse_call(self, words: list[bytes], schema: CommandSchema) -> None:
        """Take over the words of a call; raise InvalidCommandError unless all of them are valid.

        The words go on to rate servers as they are, so this is the only check of what those are sent.
        """
        if len(words) != CALL_WORD_COUNTS[words[0]]:
            raise InvalidCommandError("wrong number of arguments")
        options = parse_options(words[3])
        try:
            self.class_index = schema.class_indexes[options[b"c"]]
            self.plan_index = schema.plan_indexes[options[b"t"]]
            self.time_remaining_ms = int(options[b"d"])
        except KeyError:
            raise InvalidCommandError("missing or unknown class, plan or d") from None
        if schema.duplicates_unsafe[self.class_index] is not (words[0] == CALL_POST):
            raise InvalidCommandError("wrong command for the class")
        if not TENANT_PATTERN.fullmatch(words[1]) or (tenant := int(words[1], 16)) >= TENANT_LIMIT:
            raise InvalidCommandError("bad customer")
        if not ID_PATTERN.fullmatch(words[2]):
            raise InvalidCommandError("bad id")
        self.tenant, self.id, self.words = tenant, words[2], words
        self.units = float(options.get(b"units", 1))
        self.entry_points = int(options.get(b"spread", 1))
        self.first_entry = int(options.get(b"first", 0))
        self.is_retry = options.get(b"r") == b"1"
        entries_exist = 1 <= self.entry_points <= schema.fleet_size and self.first_entry < schema.fleet_size
        if not (0 < self.units <= schema.max_units and self.time_remaining_ms > 0 and entries_exist):
            raise InvalidCommandError("number out of range")

    def poll_disconnect(self) -> bool:
        """Return whether its client has closed; the engine is then told of all requests on the connection."""
        return self.connection.poll_disconnect()

    def forwarded_command(self, time_remaining: int) -> bytes:
        """Return the command for a rate server; `time_remaining`, in microseconds, replaces the client's."""
        deadline = b"d=%d" % max(1, time_remaining // 1_000)
        items = self.words[3].split(b",")
        options = b",".join([deadline if item.startswith(b"d=") else item for item in items])
        return resp.encode_array([*self.words[:3], options, *self.words[4:]])

    def succeed(self, value: bytes) -> None:
        """Answer with a rate server's value."""
        self._answer(b"$%d\r\n%b\r\n" % (len(value), value))

    def reject(self, retry_after: int) -> None:
        """Answer that it is rejected; a client may retry after so many microseconds, where this is not 0."""
        self._answer(b"-BUSY %d\r\n" % math.ceil(retry_after / 1_000) if retry_after > 0 else b"-BUSY\r\n")

    def fail(self) -> None:
        """Answer that it failed."""
        self._answer(b"-ERR failed\r\n")

    def refuse(self, error: str) -> None:
        """Answer that it is not valid, and why."""
        self._answer(b"-ERR %b\r\n" % error.encode())

    def answer_ping(self, words: list[bytes]) -> None:
        """Answer a PING; raise InvalidCommandError where it is another command."""
        if words[0].upper() != PING:
            raise InvalidCommandError("unknown command")
        self._answer(b"+PONG\r\n")

    def _answer(self, answer: bytes) -> None:
        self.answer, self.request_id = answer, 0
        self.connection.write_answers()
