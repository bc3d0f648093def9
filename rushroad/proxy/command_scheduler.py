"""Shares the event loop's time among client connections, by deficit round robin over their commands.

Each event loop iteration processes commands up to a fixed cost over all connections, however many there are,
so that responses, counter replies and timers never wait for long behind commands. Connections with more
commands wait in a queue. Each turn is worth one short command; after a command that costs more, a connection
skips turns until it has paid.

A connection that has had no command for a while gets its first turn before all that wait for a further one,
as new flows do in FQ-CoDel. While others wait, it leaves the queue only after a turn without a command, so
that it is preferred at most once in each round.
"""

from __future__ import annotations

import asyncio
from collections import deque
from typing import NamedTuple, Protocol

COMMAND_COST = 1_024  # of a command besides its bytes; costs are in bytes
TURN_CREDIT = COMMAND_COST  # that a connection earns with each turn
ITERATION_COST = 32 * COMMAND_COST  # that all connections together may use in an event loop iteration


class Turn(NamedTuple):
    """What a connection has done in its turn."""

    cost: int  # of the commands that it has processed
    has_more: bool  # whether it may have another complete command that can be processed


class ScheduledConnection(Protocol):
    """A connection with commands to process."""

    def take_turn(self, credit: int) -> Turn:
        """Process commands until they cost `credit` or more, or none is left."""


class CommandScheduler:
    """Gives connections turns to process their commands."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._first_turns: deque[ScheduledConnection] = deque()  # no other turn of them is due
        # Connections that wait for a further turn, the next one first, with the credit left of earlier turns.
        # It is negative if their last command cost more, and forgotten once they have no command left.
        self._waiting: dict[ScheduledConnection, int] = {}
        self._available = ITERATION_COST  # until the next call of `_run`
        self._scheduled = False  # whether a call of `_run` is scheduled

    def input_arrived(self, connection: ScheduledConnection) -> bool:
        """Give a connection without a pending turn its first one, now or in the next iteration.

        Returns whether it had its turn.
        """
        if connection in self._waiting:
            return False
        if self._first_turns or self._available <= 0:
            self._first_turns.append(connection)
            self._schedule()
            return False
        self._give_turn(connection, 0)
        if self._waiting or self._available < ITERATION_COST // 2:  # few single commands need no call
            self._schedule()
        return True

    def enqueue(self, connection: ScheduledConnection) -> None:
        """Give a connection a turn after all others that wait for one; no-op if it waits already."""
        self._waiting.setdefault(connection, 0)
        self._schedule()

    def _schedule(self) -> None:
        if not self._scheduled:
            self._scheduled = True
            self._loop.call_soon(self._run)

    def _run(self) -> None:
        """Start a new iteration's cost limit, and give turns within it."""
        self._scheduled = False
        self._available = ITERATION_COST
        while self._first_turns and self._available > 0:
            connection = self._first_turns.popleft()
            self._give_turn(connection, 0)
        while self._waiting and self._available > 0:
            connection = next(iter(self._waiting))
            self._give_turn(connection, self._waiting.pop(connection))
        if self._first_turns or self._waiting:
            self._schedule()

    def _give_turn(self, connection: ScheduledConnection, credit: int) -> None:
        credit += TURN_CREDIT
        if credit <= 0:
            self._waiting[connection] = credit
            return
        turn = connection.take_turn(credit)
        self._available -= turn.cost
        if turn.has_more:
            self._waiting.pop(connection, None)
            self._waiting[connection] = credit - turn.cost
        elif turn.cost and self._waiting:
            self._waiting.setdefault(connection, 0)  # its next command waits for the others' turns
