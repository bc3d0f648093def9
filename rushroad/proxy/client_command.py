"""Client commands: validation, translation into the terms of the policy, and answers."""

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
CALL_ARGUMENT_COUNTS = {CALL_GET: 4, CALL_POST: 5}  # by command name; the name itself is counted
TENANT_LIMIT = 1 << 33  # exclusive upper bound of tenant numbers
TENANT_PATTERN = re.compile(rb"[0-9a-f]{16}")
ID_PATTERN = re.compile(rb"[0-9A-Za-z._:-]{1,64}")
TEXT_PATTERN = re.compile(rb"[^\0- ]{1,128}")  # only bytes above the space character
# Memory that a command uses besides its arguments while it is in flight, and besides its answer after it.
IN_FLIGHT_OVERHEAD_BYTES, ANSWERED_OVERHEAD_BYTES = 2 * 1024, 256
INTEGER_PATTERN = re.compile(rb"\d{1,9}")
OPTION_PATTERNS = {  # by option name on the wire; calls with any other option are invalid
    b"c": TEXT_PATTERN,  # request class
    b"t": TEXT_PATTERN,  # plan
    b"k": TEXT_PATTERN,  # only forwarded to rate servers
    b"d": INTEGER_PATTERN,  # time remaining, in milliseconds
    b"r": re.compile(rb"[01]"),  # 1 marks a retry
    b"units": re.compile(rb"\d{1,6}(\.\d{1,9})?"),
    b"spread": INTEGER_PATTERN,  # number of entry points, the gateways that the tenant uses
    b"first": INTEGER_PATTERN,  # index of the first of them
}


class InvalidCommandError(ValueError):
    """A client's command is invalid; the message is sent to the client as the error text."""


@dataclass(frozen=True, slots=True)
class CommandSchema:
    """The valid values in calls of a deployment."""

    class_indexes: dict[bytes, int]  # request classes by name
    requires_post: tuple[bool, ...]  # by request class; False means that CALL.GET is required
    plan_indexes: dict[bytes, int]  # plans by name
    max_units: float  # per request
    fleet_size: int  # number of gateways
    longest_deadline_s: float = 0.0  # over all request classes

    @classmethod
    def from_settings(cls, settings: Settings, proxy_settings: ProxySettings) -> CommandSchema:
        """Build the schema from the settings of a deployment."""
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
    """Return the options of a call by name.

    Raises InvalidCommandError if an option is invalid, unknown or repeated.
    """
    options: dict[bytes, bytes] = {}
    # One item more than there are names is enough to find an error, however many a client sends.
    for item in text.split(b",", len(OPTION_PATTERNS)):
        name, _, value = item.partition(b"=")
        pattern = OPTION_PATTERNS.get(name)
        if name in options or pattern is None or not pattern.fullmatch(value):
            raise InvalidCommandError("bad list")
        options[name] = value
    return options


class ClientCommand:
    """A command of a client, from parsing to its answer. A call is submitted to the engine as a request."""

    __slots__ = (
        "answer",
        "arguments",
        "arrived_at_s",
        "class_index",
        "connection",
        "entry_point_count",
        "first_entry_point",
        "held_bytes",
        "id",
        "is_retry",
        "plan_index",
        "request_id",
        "tenant",
        "time_remaining_ms",
        "units",
    )

    def __init__(
        self, connection: ClientConnection, arrived_at_s: float, arguments: list[bytes] | None = None
    ) -> None:
        self.connection = connection
        self.arrived_at_s = arrived_at_s  # earliest time at which its last byte may have arrived
        self.answer: bytes | None = None
        self.request_id = 0  # assigned by the engine; 0 while no answer from the engine is due
        self.arguments = arguments or []  # until the command is answered
        self.held_bytes = IN_FLIGHT_OVERHEAD_BYTES + sum(map(len, self.arguments))

    def parse_call(self, schema: CommandSchema) -> None:
        """Parse the arguments of a call; raise InvalidCommandError if any of them is invalid.

        The arguments are forwarded to rate servers unchanged, except for the deadline, so there is no later
        validation.
        """
        arguments = self.arguments
        if len(arguments) != CALL_ARGUMENT_COUNTS[arguments[0]]:
            raise InvalidCommandError("wrong number of arguments")
        options = parse_options(arguments[3])
        try:
            self.class_index = schema.class_indexes[options[b"c"]]
            self.plan_index = schema.plan_indexes[options[b"t"]]
            self.time_remaining_ms = int(options[b"d"])
        except KeyError:
            raise InvalidCommandError("missing or unknown class, plan or d") from None
        if schema.requires_post[self.class_index] is not (arguments[0] == CALL_POST):
            raise InvalidCommandError("wrong command for the class")
        if not TENANT_PATTERN.fullmatch(arguments[1]) or (tenant := int(arguments[1], 16)) >= TENANT_LIMIT:
            raise InvalidCommandError("bad customer")
        if not ID_PATTERN.fullmatch(arguments[2]):
            raise InvalidCommandError("bad id")
        self.tenant, self.id = tenant, arguments[2]
        self.units = float(options.get(b"units", 1))
        self.entry_point_count = int(options.get(b"spread", 1))
        self.first_entry_point = int(options.get(b"first", 0))
        self.is_retry = options.get(b"r") == b"1"
        entry_points_exist = (
            1 <= self.entry_point_count <= schema.fleet_size and self.first_entry_point < schema.fleet_size
        )
        if not (0 < self.units <= schema.max_units and self.time_remaining_ms > 0 and entry_points_exist):
            raise InvalidCommandError("number out of range")

    def poll_disconnect(self) -> bool:
        """Return whether the client has disconnected.

        If so, the engine has been notified for all requests on the connection.
        """
        return self.connection.poll_disconnect()

    def may_have_left(self) -> bool:
        """Return whether the client may have disconnected a while ago, unseen behind input not read yet."""
        return self.connection.reading.may_hide_close()

    def forwarded_command(self, time_remaining_us: int) -> bytes:
        """Return the command for a rate server with the time remaining in place of the client's."""
        deadline = b"d=%d" % max(1, time_remaining_us // 1_000)
        items = self.arguments[3].split(b",")
        options = b",".join([deadline if item.startswith(b"d=") else item for item in items])
        return resp.encode_array([*self.arguments[:3], options, *self.arguments[4:]])

    def succeed(self, value: bytes) -> None:
        """Answer with a rate server's value."""
        self._answer(b"$%d\r\n%b\r\n" % (len(value), value))

    def reject(self, retry_after_us: int) -> None:
        """Answer that the request is rejected; 0 means that no Retry-After is given."""
        self._answer(
            b"-BUSY %d\r\n" % math.ceil(retry_after_us / 1_000) if retry_after_us > 0 else b"-BUSY\r\n"
        )

    def fail(self) -> None:
        """Answer that the request failed."""
        self._answer(b"-ERR failed\r\n")

    def refuse(self, error: str) -> None:
        """Answer that the command is invalid, with the reason."""
        self._answer(b"-ERR %b\r\n" % error.encode())

    def answer_ping(self) -> None:
        """Answer a PING; raise InvalidCommandError for any other command."""
        if self.arguments[0].upper() != PING:
            raise InvalidCommandError("unknown command")
        self._answer(b"+PONG\r\n")

    def release_arguments(self) -> None:
        """Release the memory of the arguments: no further attempt will forward them."""
        self.arguments = []

    def _answer(self, answer: bytes) -> None:
        self.answer, self.request_id = answer, 0
        self.release_arguments()
        held_before, self.held_bytes = self.held_bytes, ANSWERED_OVERHEAD_BYTES + len(answer)
        self.connection.command_answered(self.held_bytes - held_before)
