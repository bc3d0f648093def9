"""Client connections: read pipelined commands and write the answers in the same order."""

from __future__ import annotations

import asyncio
from typing import cast

from rushroad.proxy import resp
from rushroad.proxy.arrival_times import ArrivalTimes
from rushroad.proxy.buffer_limit import FREE_BYTES, BufferUse
from rushroad.proxy.client_command import CALL_ARGUMENT_COUNTS, ClientCommand, InvalidCommandError
from rushroad.proxy.connection_table import ConnectionTable
from rushroad.proxy.disconnect_poller import has_disconnected
from rushroad.proxy.transient_errors import is_readable
from rushroad.proxy.unanswered_commands import UnansweredCommands

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


class ClientConnection(asyncio.BufferedProtocol):
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
        self._read_buffer: memoryview
        self._buffer_use = BufferUse(table.buffers)
        self._input_closed = False  # no further commands; the connection closes once all are answered
        self._received_nothing = True
        self._lingering_read_bytes = 0  # received since the input was closed
        self.unread_since = 0.0  # when the client last stopped reading its answers
        self.ended_at: float | None = None  # when the end of the stream was sent
        self.unanswered = UnansweredCommands()
        self.transport: asyncio.Transport

    # --- called by the transport --------------------------------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Add the connection to the table."""
        self.transport = cast(asyncio.Transport, transport)
        self._table.add(self)

    def get_buffer(self, _size_hint: int) -> memoryview:
        """Return the buffer for the next read."""
        self._read_buffer = self._table.buffers.read_buffer(self)
        return self._read_buffer

    def buffer_updated(self, size: int) -> None:
        """Process the complete commands that have been read and buffer the rest, up to a limit."""
        self._received_nothing = False
        if self._input_closed:
            self._lingering_read_bytes += size
            if self._lingering_read_bytes > MAX_LINGERING_READ_BYTES:
                self.abort()
            return
        buffer_bytes = len(self._read_buffer)
        self._arrivals.record(size, self._table.loop_lag.earliest_arrival(), buffer_bytes)
        self._reader.feed(bytes(self._read_buffer[:size]))
        processed = 0
        if not self._blocked_by:
            processed = self._process_commands(more_input=size == buffer_bytes)
        elif self._reader.unread_bytes > READ_AHEAD_BYTES:
            self._pause_reading()
        self._limit_memory(processed)

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
        self._count_held_bytes()
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
        self._reader = resp.Reader(MAX_ARGUMENTS)
        self._buffer_use.update(0)

    # --- commands and answers -----------------------------------------------------------------------------

    def _process_commands(self, more_input: bool = False) -> int:
        """Process the complete commands that have been read, within the limits; return how many there were.

        With `more_input`, more has probably arrived; other connections are served before it is read.
        """
        processed, any_invalid, arguments = 0, False, None
        try:
            while processed < MAX_COMMANDS_PER_BATCH and len(self.unanswered) < MAX_UNANSWERED:
                if (arguments := self._reader.next()) is None:
                    break
                any_invalid |= not self._process_command(cast(list[bytes], arguments))
                processed += 1
        except resp.ProtocolError as error:
            self._refuse_input(f"Protocol error: {error}")
            return processed
        if self._input_closed:
            return processed
        self._update_timeout(processed, partial=arguments is None and not self._reader.at_message_boundary())
        if len(self.unanswered) >= MAX_UNANSWERED:
            self._block(BlockReason.PIPELINE_FULL)
        if any_invalid or more_input or processed >= MAX_COMMANDS_PER_BATCH:
            self._block(BlockReason.BATCH_ENDED)
            pause = INVALID_COMMAND_PAUSE_S if any_invalid else 0
            self._table.loop.call_later(pause, self._unblock, BlockReason.BATCH_ENDED)
        return processed

    def _process_command(self, arguments: list[bytes]) -> bool:
        """Submit or answer one command; return False if it is invalid."""
        arrived_at_s = self._arrivals.arrival_of(self._reader.consumed_bytes)
        command = ClientCommand(self, arrived_at_s, arguments)
        self.unanswered.append(command)
        self._table.mark_busy(self)
        try:
            if arguments[0] in CALL_ARGUMENT_COUNTS:
                self._submit(command)
            else:
                command.answer_ping()
        except InvalidCommandError as error:
            command.refuse(str(error))
            return False
        return True

    def _submit(self, command: ClientCommand) -> None:
        command.parse_call(self._table.schema)
        # Without rejections, a busy connection would always have unanswered commands and never close.
        if self._table.shutting_down or self._uses_too_much_memory():
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

    def command_answered(self, added_bytes: int) -> None:
        """Write the answers that are ready; the answered command now uses this much more memory."""
        if not self.unanswered:  # the client has disconnected
            return
        self.unanswered.held_bytes += added_bytes
        self._write_answers()
        released = not self.unanswered or self._table.buffers.is_exceeded()
        if added_bytes > 0 or (
            released and self._buffer_use.used_bytes
        ):  # most answers are short, and counted later
            self._count_held_bytes()

    def _write_answers(self) -> None:
        """Write the answers that are ready, in the order of the commands."""
        answers = self.unanswered.take_answers()
        if answers and not self.transport.is_closing():
            self.transport.write(b"".join(answers))
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
        self._table.buffers.forget(self)
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
        self._limit_memory(self._process_commands())
        if not self._blocked_by and not self._input_closed:
            self._resume_reading()

    def _pause_reading(self) -> None:
        if not self._reading_paused and not self.transport.is_closing():
            self._reading_paused = True
            self._arrivals.reading_paused(self._table.loop.time())
            self.transport.pause_reading()
            self._table.disconnect_poller.watch(self)

    def _resume_reading(self) -> None:
        if self._reading_paused and not self._table.buffers.is_waiting(self):
            self._reading_paused = False
            self._arrivals.reading_resumed(is_readable(self.descriptor))
            self._table.disconnect_poller.unwatch(self)
            self.transport.resume_reading()

    # --- memory -------------------------------------------------------------------------------------------

    def _count_held_bytes(self) -> None:
        self._buffer_use.update(
            self._reader.held_bytes + self.unanswered.held_bytes + self.transport.get_write_buffer_size()
        )

    def _uses_too_much_memory(self) -> bool:
        if self._table.buffers.is_exceeded():
            self._count_held_bytes()
        return self._buffer_use.exceeds_share()

    def _limit_memory(self, processed: int) -> None:
        """Pause reading if this connection uses too much memory; complete commands are still processed.

        processed: number of commands that were complete in the last input.
        """
        buffers = self._table.buffers
        self._reader.release_read_data()
        self._count_held_bytes()
        if not buffers.is_exceeded() and not buffers.is_exempt(self):
            return
        if processed or self._blocked_by & ~BlockReason.BATCH_ENDED:
            buffers.end_exemption(self)
        if self._input_closed or buffers.is_exempt(self):
            return
        if self._uses_too_much_memory():
            buffers.wait(self)
            self._pause_reading()

    def memory_available(self) -> None:
        """Continue to read, as the limit on buffers allows it again."""
        if not self._blocked_by and not self._input_closed and not self.transport.is_closing():
            self._resume_reading()
        else:
            self._table.buffers.end_exemption(self)

    def is_stalled(self) -> bool:
        """Return whether much memory is used for a command whose rest has not arrived."""
        return self._reader.held_bytes > FREE_BYTES and not self.has_unread_input()

    def has_unread_input(self) -> bool:
        """Return whether input has arrived that has not been read."""
        return is_readable(self.descriptor)

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
        return bool(self._blocked_by and self._reader.unread_bytes) or self.has_unread_input()

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
        self._table.buffers.forget(self)
        self._count_held_bytes()
        self._resume_reading()

    def abort(self) -> None:
        """Close immediately and discard unwritten data."""
        self._table.disconnect_poller.unwatch(self)
        self.transport.abort()

    def time_out(self) -> None:
        """Close the connection, as the client has not acted in time."""
        answers_unread = self._blocked_by & BlockReason.ANSWERS_UNREAD
        at_boundary = self._reader.at_message_boundary()
        if answers_unread and self.ended_at is None and self._table.may_leave_unread(self):
            self._table.restart_timeout(self)
        elif answers_unread or self.ended_at is not None or self.transport.is_closing():
            self.abort()
        elif (at_boundary or self._table.buffers.is_waiting(self)) and self._may_hold_command():
            self._table.restart_timeout(self)  # the client has acted, but its input has not been read
        elif at_boundary:
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
        self._table.buffers.forget(self)
        for command in self.unanswered.clear():
            if command.request_id:
                self._table.engine.client_disconnected(command.request_id)
            command.release_arguments()
