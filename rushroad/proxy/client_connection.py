"""One client connection: reads pipelined commands, and answers them in their order."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import cast

from rushroad.proxy import resp
from rushroad.proxy.arrival_times import ArrivalTimes
from rushroad.proxy.client_command import CALL_WORD_COUNTS, ClientCommand, InvalidCommandError
from rushroad.proxy.connection_table import ConnectionTable
from rushroad.proxy.disconnect_poll import has_disconnected
from rushroad.proxy.transient_errors import readable

MAX_WORDS = 16  # of a command; more than clients and their libraries send in any
MAX_UNANSWERED = 64  # commands of a connection; further ones are not taken yet
MAX_COMMANDS_PER_TURN = 64  # taken from one connection before others have their turn
INVALID_COMMAND_PAUSE = 0.05  # seconds without reading: repeats must not take the other clients' CPU time
READ_AHEAD_BYTES = 8 * 1024  # of commands that are not taken yet; arrival times are less exact beyond
MAX_LINGERING_READ_BYTES = 256 * 1024  # unread bytes at close would reset the connection and lose answers


class BlockReason:
    """Why no commands are taken from a connection for now; bits, as several reasons may hold at once."""

    PIPELINE_FULL = 1
    END_OF_TURN = 2
    ANSWERS_UNREAD = 4


class ClientConnection(asyncio.Protocol):
    """One client connection, from its set-up to its lingering close."""

    def __init__(self, table: ConnectionTable, descriptor: int, waiting_since: float | None = None) -> None:
        """Take over a socket; `waiting_since` tells since when it may have waited, if accepting was late."""
        self._table, self.descriptor = table, descriptor
        self._reader = resp.Reader(MAX_WORDS)
        self._arrivals = ArrivalTimes()
        if waiting_since is not None:
            self._arrivals.reading_paused(waiting_since)  # it is read as soon as it is set up
        self._blocked_by = 0  # bits of BlockReason
        self._reading_paused = False
        self._input_closed = False  # no further command is taken; it closes once all are answered
        self._received_nothing = True
        self._lingering_read_bytes = 0  # received since no commands are taken
        self.unread_since = 0.0  # since when its client has not read its answers
        self.ended_at: float | None = None  # when its client was told that no more answers come
        self.unanswered: deque[ClientCommand] = deque()
        self.transport: asyncio.Transport

    # --- called by the transport --------------------------------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection."""
        self.transport = cast(asyncio.Transport, transport)
        self._table.add(self)

    def data_received(self, data: bytes) -> None:
        """Take the commands that are whole; keep the rest, within bounds."""
        self._received_nothing = False
        if self._input_closed:
            self._lingering_read_bytes += len(data)
            if self._lingering_read_bytes > MAX_LINGERING_READ_BYTES:
                self.abort()
            return
        self._arrivals.record(len(data), self._table.loop_lag.waiting_since())
        self._reader.feed(data)
        if not self._blocked_by:
            self._take_commands()
        elif self._reader.unread_bytes > READ_AHEAD_BYTES:
            self._pause_reading()

    def pause_writing(self) -> None:
        """Take no commands while the client does not read its answers: they would fill the memory."""
        self._block(BlockReason.ANSWERS_UNREAD)
        self.unread_since = self._table.loop.time()
        self._table.restart_timeout(self)

    def resume_writing(self) -> None:
        """Go on, as the client reads again. One that was told of the end still has to close in time."""
        if self.ended_at is None:
            self._table.stop_timeout(self)
        self._unblock(BlockReason.ANSWERS_UNREAD)

    def eof_received(self) -> None:
        """Note that the client has closed. Answers so far are still written, then the transport closes."""
        self.disconnect()
        if self.transport.get_write_buffer_size():
            self._table.restart_timeout(self)  # it may never read them
        else:
            self._table.remove(self)

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002 - the transport's interface
        """Note that the connection was closed, by either end."""
        self._table.remove(self)
        self.disconnect()

    # --- commands and answers -----------------------------------------------------------------------------

    def _take_commands(self) -> None:
        """Take the whole commands that have arrived, as far as bounds allow."""
        taken, any_invalid, words = 0, False, None
        try:
            while taken < MAX_COMMANDS_PER_TURN and len(self.unanswered) < MAX_UNANSWERED:
                if (words := self._reader.next()) is None:
                    break
                any_invalid |= not self._take_command(cast(list[bytes], words))
                taken += 1
        except resp.ProtocolError as error:
            self._refuse_input(f"Protocol error: {error}")
            return
        if self._input_closed:
            return
        self._update_timeout(taken, partial=words is None and not self._reader.at_message_boundary())
        if len(self.unanswered) >= MAX_UNANSWERED:
            self._block(BlockReason.PIPELINE_FULL)
        if any_invalid or taken >= MAX_COMMANDS_PER_TURN:
            self._block(BlockReason.END_OF_TURN)
            pause = INVALID_COMMAND_PAUSE if any_invalid else 0
            self._table.loop.call_later(pause, self._unblock, BlockReason.END_OF_TURN)

    def _take_command(self, words: list[bytes]) -> bool:
        """Submit or answer one command; return False where it is not valid."""
        command = ClientCommand(self, self._arrivals.arrival_of(self._reader.consumed_bytes))
        self.unanswered.append(command)
        self._table.mark_busy(self)
        try:
            if words[0] in CALL_WORD_COUNTS:
                self._submit(command, words)
            else:
                command.answer_ping(words)
        except InvalidCommandError as error:
            command.refuse(str(error))
            return False
        return True

    def _submit(self, command: ClientCommand, words: list[bytes]) -> None:
        command.parse_call(words, self._table.schema)
        if self._table.shutting_down:
            command.reject(0)  # otherwise a busy connection would never be without unanswered commands
            return
        command.request_id = self._table.engine.submit(command)
        if not command.request_id:
            # At a rate server the same id would be a second copy of the request that is in flight.
            raise InvalidCommandError("the id is taken")

    def _update_timeout(self, taken: int, partial: bool) -> None:
        if partial and taken:
            self._table.restart_timeout(self)
        elif partial:
            self._table.start_timeout(self)
        elif taken:
            self._table.stop_timeout(self)
            if not self.unanswered:
                self._table.mark_idle(self)

    def write_answers(self) -> None:
        """Write the answers whose turn it is."""
        ready = []
        while self.unanswered and (answer := self.unanswered[0].answer) is not None:
            self.unanswered.popleft()
            ready.append(answer)
        if ready and not self.transport.is_closing():
            self.transport.write(b"".join(ready))
        if not self.unanswered:
            self._table.mark_idle(self)
            if self._input_closed or self._table.shutting_down:
                self.close()
        pipeline_full = self._blocked_by & BlockReason.PIPELINE_FULL
        if pipeline_full and not self._input_closed and len(self.unanswered) <= MAX_UNANSWERED // 2:
            self._unblock(BlockReason.PIPELINE_FULL)

    def _refuse_input(self, error: str) -> None:
        """Answer with an error after all that is unanswered, then close: no command can follow."""
        self._input_closed = True
        self._reader = resp.Reader(MAX_WORDS)
        self._block(BlockReason.PIPELINE_FULL)
        self._pause_reading()
        command = ClientCommand(self, self._table.loop.time())
        self.unanswered.append(command)
        command.refuse(error)

    # --- flow control -------------------------------------------------------------------------------------

    def _block(self, reason: int) -> None:
        """Take no commands for now. Only with a full pipeline is it still read, to know when they arrive."""
        self._blocked_by |= reason
        if self._blocked_by & ~BlockReason.PIPELINE_FULL or self._reader.unread_bytes > READ_AHEAD_BYTES:
            self._pause_reading()

    def _unblock(self, reason: int) -> None:
        """End one reason to take no commands; without another one, take those that have arrived meanwhile."""
        self._blocked_by &= ~reason
        if self._input_closed or self._blocked_by or self.transport.is_closing() or self.poll_disconnect():
            return
        self._take_commands()
        if not self._blocked_by and not self._input_closed:
            self._resume_reading()

    def _pause_reading(self) -> None:
        if not self._reading_paused and not self.transport.is_closing():
            self._reading_paused = True
            self._arrivals.reading_paused(self._table.loop.time())
            self.transport.pause_reading()
            self._table.disconnect_poll.watch(self)

    def _resume_reading(self) -> None:
        if self._reading_paused:
            self._reading_paused = False
            self._arrivals.reading_resumed(readable(self.descriptor))
            self._table.disconnect_poll.unwatch(self)
            self.transport.resume_reading()

    # --- closing ------------------------------------------------------------------------------------------

    def close(self, await_command: bool = True) -> None:
        """Send the end of the stream, if nothing is unanswered; then linger until the client closes, too.

        With `await_command` a connection stays open whose first command, or the rest of one, has not arrived.
        Lingering means to read on, for a limited time: to close with unread input would reset the connection,
        and its client would lose the answers that it has not read yet.
        """
        if self.unanswered or self.ended_at is not None or self.transport.is_closing():
            return
        command_coming = self._received_nothing or not self._reader.at_message_boundary()
        if await_command and command_coming and not self._input_closed:
            return
        self._input_closed = True
        self.ended_at = self._table.loop.time()
        self._reader = resp.Reader(MAX_WORDS)
        self._table.mark_busy(self)
        self._table.restart_timeout(self)
        self.transport.write_eof()
        self._blocked_by = 0
        self._resume_reading()

    def abort(self) -> None:
        """Close at once; what is not written yet is lost."""
        self._table.disconnect_poll.unwatch(self)
        self.transport.abort()

    def time_out(self) -> None:
        """End the connection, as its client has not acted in time."""
        answers_unread = self._blocked_by & BlockReason.ANSWERS_UNREAD
        if answers_unread and self.ended_at is None and self._table.may_leave_unread(self):
            self._table.restart_timeout(self)
        elif answers_unread or self.ended_at is not None or self.transport.is_closing():
            self.abort()
        elif self._reader.at_message_boundary():
            self.close(await_command=False)
        else:
            self._refuse_input("the rest of the command did not come")

    def poll_disconnect(self) -> bool:
        """Return whether the client has closed, also before that is read; its requests are cancelled then."""
        if not self.transport.is_closing() and not has_disconnected(self.descriptor):
            return False
        self.disconnect()
        return True

    def disconnect(self) -> None:
        """Cancel the client's requests, as it has closed; no answers are owed to it any more."""
        self._input_closed = True
        unanswered, self.unanswered = self.unanswered, deque()
        for command in unanswered:
            if command.request_id:
                self._table.engine.client_disconnected(command.request_id)
