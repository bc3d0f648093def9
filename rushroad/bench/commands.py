"""Commands from the bench to its processes, and their replies: one JSON object a line, over pipes."""

from __future__ import annotations

from enum import Enum, StrEnum
from typing import TypeAlias

import msgspec


class Command(msgspec.Struct, frozen=True, kw_only=True, tag_field="do"):
    """A command; its tag on the pipe is in `do`."""


class Reply(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """The reply to a command."""


class Done(Reply, kw_only=True):
    """The command was carried out, and there is nothing to report."""


# --- to the stand-ins -----------------------------------------------------------------------------------


class StartStandIns(Command, frozen=True, kw_only=True, tag="start"):
    """The first command: start all stand-ins."""

    rate_servers: int
    work_s: float  # of a rate server on a request
    load_reports: bool
    counter_shards: int = 1
    indent: int | None = None  # of discovery's JSON
    seed: int


class StandInAddresses(Reply, kw_only=True):
    """Where the stand-ins listen."""

    discovery: str
    counter: str
    first_rate_server: str


class RemoveEndpoints(Command, frozen=True, kw_only=True, tag="remove"):
    """Remove so many endpoints from the list in one message, first half of those that have had attempts."""

    count: int


class RemovedEndpoints(Reply, kw_only=True):
    """How many endpoints were removed, and how many of them had had attempts."""

    removed: int
    used: int


class RollEndpoints(Command, frozen=True, kw_only=True, tag="roll"):
    """Change the endpoint list at this rate from now on; 0 stops it."""

    changes_per_s: float


class SilenceDiscovery(Command, frozen=True, kw_only=True, tag="silence"):
    """Let discovery send nothing, or go on."""

    on: bool


class CounterMode(Enum):
    """How a shard of the counter handles its calls."""

    NORMAL = "normal"
    BUSY = "busy"  # rejects all
    SLOW = "slow"  # replies after a delay
    DOWN = "down"  # replies to nothing, so nothing behind it on a connection gets a reply either


class SetCounterMode(Command, frozen=True, kw_only=True, tag="counter"):
    """Set the mode of the first `shards` shards; the others are normal."""

    mode: CounterMode
    shards: int
    delay_s: float = 0.0  # of slow shards


class GetFigures(Command, frozen=True, kw_only=True, tag="figures"):
    """Ask for what has come to the stand-ins so far."""


class RateServerFigures(Reply, kw_only=True):
    """What has come to all rate servers together."""

    attempts: int = 0
    late_attempts: int = 0  # to endpoints removed a while before
    connects: int = 0
    open_connections: int = 0
    syntax_errors: int = 0


class CounterFigures(Reply, kw_only=True):
    """What has come to the counter."""

    calls: int = 0
    pings: int = 0
    connects: int = 0
    bytes_in: int = 0
    bytes_out: int = 0


class DiscoveryFigures(Reply, kw_only=True):
    """What discovery has served."""

    watches: int = 0  # started
    open_watches: int = 0
    bytes_out: int = 0
    changes: int = 0


class StandInFigures(Reply, kw_only=True):
    """What has come to the stand-ins so far."""

    rate_servers: RateServerFigures
    counter: CounterFigures
    discovery: DiscoveryFigures


StandInCommand: TypeAlias = (
    StartStandIns | RemoveEndpoints | RollEndpoints | SilenceDiscovery | SetCounterMode | GetFigures
)
STAND_IN_DECODER: msgspec.json.Decoder[StandInCommand] = msgspec.json.Decoder(StandInCommand)


# --- to the clients -------------------------------------------------------------------------------------


class Outcome(StrEnum):
    """What became of a client's request, named as the columns of the results are."""

    SERVED = "served"
    REJECTED = "refused"
    FAILED = "failed"
    LOST = "lost"  # no answer in time, or a connection that ended
    WRONG = "wrong"  # a value that no rate server made for this request


class StartLoad(Command, frozen=True, kw_only=True, tag="load"):
    """Send requests as a Poisson process; the reply comes when all of them have ended."""

    gateways: tuple[str, ...]  # addresses
    gateway_indices: tuple[int, ...]  # of the same gateways, in their fleet
    fleet_size: int
    request_rate: float  # a second, at all gateways together
    requests: int
    tenants: int
    entry_points: int  # gateways that a tenant's requests come through
    deadline_ms: int
    request_class: str
    plan: str
    seed: int


class Percentiles(Reply, kw_only=True):
    """Percentiles of a latency, in microseconds."""

    p50: int
    p99: int


class LoadResult(Reply, kw_only=True):
    """What became of all requests."""

    outcomes: dict[Outcome, int]
    tenants_seen: int
    seconds: float
    latency: Percentiles
    added: Percentiles  # latency without the rate servers' work


class StartPings(Command, frozen=True, kw_only=True, tag="ping"):
    """Send PINGs to a gateway, one after another, from now on."""

    gateway: str  # its address


class TakeLongestPing(Command, frozen=True, kw_only=True, tag="stall"):
    """Ask for the longest round trip of a PING since this was last asked."""


class LongestPing(Reply, kw_only=True):
    """The longest round trip, a PING in flight included, and the number of answers."""

    seconds: float
    answers: int


ClientCommand: TypeAlias = StartLoad | StartPings | TakeLongestPing
CLIENT_DECODER: msgspec.json.Decoder[ClientCommand] = msgspec.json.Decoder(ClientCommand)
