"""Commands from the bench to its worker processes, and their replies: JSON objects over pipes, one a line."""

from __future__ import annotations

from enum import Enum, StrEnum
from typing import TypeAlias

import msgspec


class Command(msgspec.Struct, frozen=True, kw_only=True, tag_field="do"):
    """A command. Its field `do` names its type on the pipe."""


class Reply(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """The reply to a command."""


class Done(Reply, kw_only=True):
    """The command succeeded, and there is nothing to report."""


# --- to the stand-ins -----------------------------------------------------------------------------------


class StartStandIns(Command, frozen=True, kw_only=True, tag="start"):
    """Starts all stand-ins. It must be the first command."""

    rate_servers: int
    work_s: float  # service time of a request at a rate server
    load_reports: bool
    counter_shards: int = 1
    indent: int | None = None  # of discovery's JSON; None puts each message on one line
    seed: int


class StandInAddresses(Reply, kw_only=True):
    """The addresses on which the stand-ins listen."""

    discovery: str
    counter: str
    first_rate_server: str


class RemoveEndpoints(Command, frozen=True, kw_only=True, tag="remove"):
    """Removes `count` endpoints from the list in one message.

    It begins with those that received the most attempts, up to half of all that received any.
    """

    count: int


class RemovedEndpoints(Reply, kw_only=True):
    """How many endpoints were removed, and how many of these had received attempts."""

    removed: int
    used: int


class SetEndpointChurn(Command, frozen=True, kw_only=True, tag="roll"):
    """Sets the rate at which the endpoint list changes; 0 stops the changes."""

    changes_per_s: float


class SilenceDiscovery(Command, frozen=True, kw_only=True, tag="silence"):
    """Stops all output of discovery, or resumes it."""

    on: bool


class CounterMode(Enum):
    """How a shard of the counter replies to calls."""

    NORMAL = "normal"
    BUSY = "busy"  # rejects every call
    SLOW = "slow"  # replies after a delay
    DOWN = "down"  # never replies, which also blocks the replies to later calls on the connection


class SetCounterMode(Command, frozen=True, kw_only=True, tag="counter"):
    """Sets the mode of the first `shards` shards, and resets the others to NORMAL."""

    mode: CounterMode
    shards: int
    delay_s: float = 0.0  # of the replies of SLOW shards


class GetStats(Command, frozen=True, kw_only=True, tag="figures"):
    """Asks for the statistics of the stand-ins since their start."""


class RateServerStats(Reply, kw_only=True):
    """Statistics of all rate servers together."""

    attempts: int = 0
    late_attempts: int = 0  # more than rate_servers.LATE_AFTER_S after the endpoint's removal
    connects: int = 0
    open_connections: int = 0
    syntax_errors: int = 0


class CounterStats(Reply, kw_only=True):
    """Statistics of the counter."""

    calls: int = 0
    pings: int = 0
    connects: int = 0
    bytes_in: int = 0
    bytes_out: int = 0


class DiscoveryStats(Reply, kw_only=True):
    """Statistics of discovery."""

    watches: int = 0  # opened since the start
    open_watches: int = 0
    bytes_out: int = 0
    changes: int = 0


class StandInStats(Reply, kw_only=True):
    """Statistics of the stand-ins since their start."""

    rate_servers: RateServerStats
    counter: CounterStats
    discovery: DiscoveryStats


StandInCommand: TypeAlias = (
    StartStandIns | RemoveEndpoints | SetEndpointChurn | SilenceDiscovery | SetCounterMode | GetStats
)
STAND_IN_DECODER: msgspec.json.Decoder[StandInCommand] = msgspec.json.Decoder(StandInCommand)


# --- to the clients -------------------------------------------------------------------------------------


class Outcome(StrEnum):
    """The outcome of a client's request, by the name of its column in the results."""

    SERVED = "served"
    REJECTED = "refused"
    FAILED = "failed"
    LOST = "lost"  # no answer in time, or the connection failed or was closed
    WRONG = "wrong"  # the value is not the one that a rate server made for this request


class StartLoad(Command, frozen=True, kw_only=True, tag="load"):
    """Starts requests as a Poisson process. The reply is sent once all of them have completed."""

    gateways: tuple[str, ...]  # their addresses
    gateway_indices: tuple[int, ...]  # the index of each of these gateways in the fleet
    fleet_size: int
    request_rate: float  # requests/s to all gateways together
    requests: int
    tenants: int
    entry_points: int  # number of gateways over which a tenant's requests are spread
    deadline_ms: int
    request_class: str
    plan: str
    seed: int


class Percentiles(Reply, kw_only=True):
    """Percentiles of a latency and its maximum, in microseconds."""

    p50: int
    p99: int
    max: int


class LoadResult(Reply, kw_only=True):
    """The outcomes and latencies of all requests."""

    outcomes: dict[Outcome, int]
    tenants_seen: int  # tenants that sent a request
    seconds: float  # from the start of the load to the last outcome
    latency: Percentiles
    added: Percentiles  # latency less the service time of the rate servers


class StartPings(Command, frozen=True, kw_only=True, tag="ping"):
    """Starts to send PINGs to a gateway, one at a time."""

    gateway: str  # its address


class TakeLongestPing(Command, frozen=True, kw_only=True, tag="stall"):
    """Asks for the longest round trip of a PING since the last such command, and starts anew."""


class LongestPing(Reply, kw_only=True):
    """The longest round trip, including that of a PING in flight, and the number of PONGs received.

    Both are since the last TakeLongestPing.
    """

    seconds: float
    answers: int


ClientCommand: TypeAlias = StartLoad | StartPings | TakeLongestPing
CLIENT_DECODER: msgspec.json.Decoder[ClientCommand] = msgspec.json.Decoder(ClientCommand)


# --- to the flooding clients ----------------------------------------------------------------------------


class StartFlood(Command, frozen=True, kw_only=True, tag="flood"):
    """Opens connections that each send a pipeline of commands, and the next once all are answered."""

    gateway: str  # its address
    connections: int
    pipeline: int  # commands of a connection at once
    tenants: int  # 0 names a new tenant in each command
    deadline_ms: int
    request_class: str
    plan: str


class GetFloodStats(Command, frozen=True, kw_only=True, tag="flooded"):
    """Asks for the number of answers since the start."""


class FloodStats(Reply, kw_only=True):
    """Answers to the flooding clients since the start, and their connections that are open."""

    answers: int
    connections: int


FloodCommand: TypeAlias = StartFlood | GetFloodStats
FLOOD_DECODER: msgspec.json.Decoder[FloodCommand] = msgspec.json.Decoder(FloodCommand)
