"""Client connections: read pipelined commands and write the answers in the same order."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import cast

from rushroad.proxy import resp
from rushroad.proxy.arrival_times import ArrivalTimes
from rushroad.proxy.client_command import CALL_ARGUMENT_COUNTS, ClientCommand, InvalidCommandError
from rushroad.proxy.connection_table import ConnectionTable
from rushroad.proxy.disconnect_poller import has_disconnected
from rushroad.proxy.transient_errors import is_readable

MAX_ARGUMENTS = 16  # per command; more than any command of clients and their libraries has
MAX_UNANSWERED = 64  # pipelined commands of a connection; later ones wait until earlier ones are answered
MAX_COMMANDS_PER_BATCH = 64  # processed on one connection before other connections are served
INVALID_COMMAND_PAUSE_S = 0.05  # reading pauses, so that repeated invalid commands do not use up CPU time
READ_AHEAD_BYTES = 8 * 1024  # of unprocessed input; above it, reading pauses, so arrival times are less exact
# Input after the last command is read and discarded, as closing with unread bytes would reset the connection
# and lose answers. Above this limit, the connection is aborted.
MAX_LINGERING_READ_BYTES = 256 * 1024


class BlockReason:
    """Why commands of a connection are not processed; bit flags, as several reasons can hold at once."""

    PIPELINE_FULL = 1
    BATCH_ENDED = 2  # until other connections are served, or for a pause after an invalid command
    ANSWERS_UNREAD = 4


class ClientConnection(asyncio.Protocol):
    """A client connection, from its set-up to its lingering close."""

    def __init__(self, table: ConnectionTable, descriptor: int, waiting_since: float | None = None) -> None:
        """Create a connection; `waiting_since` is when its first input may have arrived, if accepted late."""
        self._table, self.descriptor = table, descriptor
        self._reader = resp.Reader(MAX_ARGUMENTS)
        self._arrivals = ArrivalTimes()
        if waiting_since is not None:
            self._arrivals.reading_paused(waiting_since)  # no input was read since then
        self._blocked_by = 0  # flags of BlockReason
        self._reading_paused = False
        self._input_closed = False  # no further commands; the connection closes once all are answered
        self._received_nothing = True
        self._lingering_read_bytes = 0  # received since the input was closed
        self.unread_since = 0.0  # when the client last stopped reading its answers
        self.ended_at: float | None = None  # when the end of the stream was sent
        self.unanswered: deque[ClientCommand] = deque()
        self.transport: asyncio.Transport

    # --- called by the transport --------------------------------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Add the connection to the table."""
        self.transport = cast(asyncio.Transport, transport)
        self._table.add(self)

    def data_received(self, data: bytes) -> None:
        """Process the complete commands and buffer the rest, up to a limit."""
        self._received_nothing = False
        if self._input_closed:
            self._lingering_read_bytes += len(data)
            if self._lingering_read_bytes > MAX_LINGERING_READ_BYTES:
                self.abort()
            return
        self._arrivals.record(len(data), self._table.loop_lag.earliest_arrival())
        self._reader.feed(data)
        if not self._blocked_by:
            self._process_commands()
        elif self._reader.unread_bytes > READ_AHEAD_BYTES:
            self._pause_reading()

    def pause_writing(self) -> None:
        """Stop processing commands while the client does not read its answers, which limits memory use."""
        self._block(BlockReason.ANSWERS_UNREAD)
        self.unread_since = self._table.loop.time()
        self._table.restart_timeout(self)

    def resume_writing(self) -> None:
        """Continue, as the client reads again.

        The timeout runs on if the end of the stream was sent: the client still has to close in time.
        """
        if self.ended_at is None:
            self._table.stop_timeout(self)
        self._unblock(BlockReason.ANSWERS_UNREAD)

    def eof_received(self) -> None:
        """Handle a close by the client. Buffered answers are still written, then the transport closes."""
        self.disconnect()
        if self.transport.get_write_buffer_size():
            self._table.restart_timeout(self)  # the client may never read them
        else:
            self._table.remove(self)

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002 - the transport's interface
        """Handle the end of the connection, closed by either side."""
        self._table.remove(self)
        self.disconnect()

    # --- commands and answers -----------------------------------------------------------------------------

    def _process_commands(self) -> None:
        """Process the complete commands that have arrived, within the limits."""
        processed, any_invalid, arguments = 0, False, None
        try:
            while processed < MAX_COMMANDS_PER_BATCH and len(self.unanswered) < MAX_UNANSWERED:
                if (arguments := self._reader.next()) is None:
                    break
                any_invalid |= not self._process_command(cast(list[bytes], arguments))
                processed += 1
        except resp.ProtocolError as error:
            self._refuse_input(f"Protocol error: {error}")
            return
        if self._input_closed:
            return
        self._update_timeout(processed, partial=arguments is None and not self._reader.at_message_boundary())
        if len(self.unanswered) >= MAX_UNANSWERED:
            self._block(BlockReason.PIPELINE_FULL)
        if any_invalid or processed >= MAX_COMMANDS_PER_BATCH:
            self._block(BlockReason.BATCH_ENDED)
            pause = INVALID_COMMAND_PAUSE_S if any_invalid else 0
            self._table.loop.call_later(pause, self._unblock, BlockReason.BATCH_ENDED)

    def _process_command(self, arguments: list[bytes]) -> bool:
        """Submit or answer one command; return False if it is invalid."""
        command = ClientCommand(self, self._arrivals.arrival_of(self._reader.consumed_bytes))
        self.unanswered.append(command)
        self._table.mark_busy(self)
        try:
            if arguments[0] in CALL_ARGUMENT_COUNTS:
                self._submit(command, arguments)
            else:
                command.answer_ping(arguments)
        except InvalidCommandError as error:
            command.refuse(str(error))
            return False
        return True

    def _submit(self, command: ClientCommand, arguments: list[bytes]) -> None:
        command.parse_call(arguments, self._table.schema)
        if self._table.shutting_down:
            # Otherwise a busy connection would always have unanswered commands, and so would never close.
            command.reject(0)
            return
        command.request_id = self._table.engine.submit(command)
        if not command.request_id:
            # A rate server would treat it as a duplicate of the request in flight with the same ID.
            raise InvalidCommandError("the id is taken")

    def _update_timeout(self, processed: int, partial: bool) -> None:
        if partial and processed:
            self._table.restart_timeout(self)
        elif partial:
            self._table.start_timeout(self)
        elif processed:
            self._table.stop_timeout(self)
            if not self.unanswered:
                self._table.mark_idle(self)

    def write_answers(self) -> None:
        """Write the answers that are ready, in the order of the commands."""
        ready = []
        while self.unanswered and (answer := self.unanswered[0].answer) is not None:
            self.unanswered.popleft()
            ready.append(answer)
        if ready and not self.transport.is_closing():
            self.transport.write(b"".join(ready))
        pipeline_full = self._blocked_by & BlockReason.PIPELINE_FULL
        if pipeline_full and not self._input_closed and len(self.unanswered) <= MAX_UNANSWERED // 2:
            self._unblock(BlockReason.PIPELINE_FULL)
        if not self.unanswered:
            self._table.mark_idle(self)
            if self._input_closed or self._table.shutting_down:
                self.close()

    def _refuse_input(self, error: str) -> None:
        """Send an error after the pending answers, then close: later input cannot be parsed."""
        self._input_closed = True
        self._reader = resp.Reader(MAX_ARGUMENTS)
        self._block(BlockReason.PIPELINE_FULL)
        self._pause_reading()
        command = ClientCommand(self, self._table.loop.time())
        self.unanswered.append(command)
        command.refuse(error)

    # --- flow control -------------------------------------------------------------------------------------

    def _block(self, reason: int) -> None:
        """Stop processing commands.

        Reading continues if a full pipeline is the only reason, in order to record when commands arrive.
        """
        self._blocked_by |= reason
        if self._blocked_by & ~BlockReason.PIPELINE_FULL or self._reader.unread_bytes > READ_AHEAD_BYTES:
            self._pause_reading()

    def _unblock(self, reason: int) -> None:
        """Clear a block reason; if no other remains, process the commands that have arrived meanwhile."""
        self._blocked_by &= ~reason
        if self._input_closed or self._blocked_by or self.transport.is_closing() or self.poll_disconnect():
            return
        self._process_commands()
        if not self._blocked_by and not self._input_closed:
            self._resume_reading()

    def _pause_reading(self) -> None:
        if not self._reading_paused and not self.transport.is_closing():
            self._reading_paused = True
            self._arrivals.reading_paused(self._table.loop.time())
            self.transport.pause_reading()
            self._table.disconnect_poller.watch(self)

    def _resume_reading(self) -> None:
        if self._reading_paused:
            self._reading_paused = False
            self._arrivals.reading_resumed(is_readable(self.descriptor))
            self._table.disconnect_poller.unwatch(self)
            self.transport.resume_reading()

    # --- closing ------------------------------------------------------------------------------------------

    def is_quiet(self) -> bool:
        """Return whether nothing is owed to the client: no command has arrived that is not answered."""
        if self.unanswered or self.transport.get_write_buffer_size():
            return False
        return self.ended_at is not None or not self._may_hold_command()

    def _may_hold_command(self) -> bool:
        """Return whether a complete command may have arrived that has not been processed.

        It may be in the reader while processing is blocked, or in the kernel, where only reading shows it.
        """
        return bool(self._blocked_by and self._reader.unread_bytes) or is_readable(self.descriptor)

    def close(self, await_command: bool = True) -> None:
        """Send the end of the stream if nothing is owed to the client, then linger until the client closes.

        The connection stays open while a command is unanswered or unprocessed. With `await_command`, it also
        stays open if its first command or the rest of a command has not arrived.
        """
        if self.unanswered or self.ended_at is not None or self.transport.is_closing():
            return
        if not self._input_closed:
            if await_command and (self._received_nothing or not self._reader.at_message_boundary()):
                return
            if self._may_hold_command():
                return
        self._end_stream()

    def finish_input(self) -> None:
        """Process all commands that have been read, read no others and close, as the process exits."""
        if self.ended_at is not None or self.transport.is_closing():
            return
        self._pause_reading()
        try:
            while not self._input_closed and (arguments := self._reader.next()) is not None:
                self._process_command(cast(list[bytes], arguments))
        except resp.ProtocolError as error:
            self._refuse_input(f"Protocol error: {error}")
        if not self.unanswered and self.ended_at is None:
            self._end_stream()

    def _end_stream(self) -> None:
        """Send the end of the stream and linger.

        A lingering connection is read for a limited time: closing it with unread input would reset it, and
        the client would lose the answers that it has not read yet.
        """
        self._input_closed = True
        self.ended_at = self._table.loop.time()
        self._reader = resp.Reader(MAX_ARGUMENTS)
        self._table.mark_busy(self)
        self._table.restart_timeout(self)
        self.transport.write_eof()
        self._blocked_by = 0
        self._resume_reading()

    def abort(self) -> None:
        """Close immediately and discard unwritten data."""
        self._table.disconnect_poller.unwatch(self)
        self.transport.abort()

    def time_out(self) -> None:
        """Close the connection, as the client has not acted in time."""
        answers_unread = self._blocked_by & BlockReason.ANSWERS_UNREAD
        if answers_unread and self.ended_at is None and self._table.may_leave_unread(self):
            self._table.restart_timeout(self)
        elif answers_unread or self.ended_at is not None or self.transport.is_closing():
            self.abort()
        elif self._reader.at_message_boundary() and self._may_hold_command():
            self._table.restart_timeout(self)  # the client has acted, but its input has not been read
        elif self._reader.at_message_boundary():
            self.close(await_command=False)
        else:
            self._refuse_input("the rest of the command did not come")

    def poll_disconnect(self) -> bool:
        """Return whether the client has disconnected, even if the event loop has not reported it yet.

        If so, its requests are cancelled.
        """
        if not self.transport.is_closing() and not has_disconnected(self.descriptor):
            return False
        self.disconnect()
        return True

    def disconnect(self) -> None:
        """Cancel the requests of a client that has disconnected; they are not answered any more."""
        self._input_closed = True
        unanswered, self.unanswered = self.unanswered, deque()
        for command in unanswered:
            if command.request_id:
                self._table.engine.client_disconnected(command.request_id)
