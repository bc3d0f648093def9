"""Client connections: read pipelined commands and write the answers in the same order."""

from __future__ import annotations

import asyncio
from typing import cast

from rushroad.proxy import resp
from rushroad.proxy.block_reason import BlockReason
from rushroad.proxy.buffer_limit import FREE_BYTES, BufferUse
from rushroad.proxy.client_command import CALL_ARGUMENT_COUNTS, ClientCommand, InvalidCommandError
from rushroad.proxy.client_input import ClientInput
from rushroad.proxy.command_scheduler import COMMAND_COST, Turn
from rushroad.proxy.connection_table import ConnectionTable
from rushroad.proxy.disconnect_poller import has_disconnected
from rushroad.proxy.read_control import ReadControl
from rushroad.proxy.unanswered_commands import UnansweredCommands

MAX_UNANSWERED = 64  # pipelined commands of a connection; later ones wait until earlier ones are answered
MAX_BATCH = 64  # commands of a connection, after which it pauses if any of them was invalid
INVALID_COMMAND_PAUSE_S = 0.05  # reading pauses, so that repeated invalid commands do not use up CPU time
# Of unprocessed input, if no request is in flight; above it, reading pauses, so arrival times are less exact.
IDLE_READ_AHEAD_BYTES = 8 * 1024
# Input after the last command is read and discarded, as closing with unread bytes would reset the connection
# and lose answers. Above this limit, the connection is aborted.
MAX_LINGERING_READ_BYTES = 256 * 1024


class ClientConnection(asyncio.BufferedProtocol):
    """A client connection, from its set-up to its lingering close."""

    def __init__(self, table: ConnectionTable, descriptor: int, waiting_since: float | None = None) -> None:
        """Create a connection; `waiting_since` is when its first input may have arrived, if accepted late."""
        self.table, self.descriptor = table, descriptor
        self.input = ClientInput()
        if waiting_since is not None:
            self.input.arrivals.reading_paused(waiting_since)  # no input was read since then
        self._blocked_by = 0  # flags of BlockReason
        self._batch_length, self._batch_has_invalid = 0, False  # of commands processed without a pause
        self.reading = ReadControl(self)
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
        self.table.add(self)

    def get_buffer(self, _size_hint: int) -> memoryview:
        """Return the buffer for the next read."""
        self._read_buffer = self.table.buffers.read_buffer(self)
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
        self.reading.data_read(fills_buffer=size == buffer_bytes)
        self.input.arrivals.record(size, self.table.loop_lag.earliest_arrival(), buffer_bytes)
        self.input.append(bytes(self._read_buffer[:size]))
        if not self._blocked_by:
            self._blocked_by = BlockReason.AWAITING_TURN
            if self.table.scheduler.input_arrived(self):
                return
        self._update_reading()
        self._limit_memory(0)

    def pause_writing(self) -> None:
        """Stop processing commands while the client does not read its answers, which limits memory use."""
        self._block(BlockReason.ANSWERS_UNREAD)
        self.unread_since = self.table.loop.time()
        self.table.restart_timeout(self)

    def resume_writing(self) -> None:
        """Continue, as the client reads again.

        The timeout runs on if the end of the stream was sent: the client still has to close in time.
        """
        if self.ended_at is None:
            self.table.stop_timeout(self)
        self._count_held_bytes()
        self._unblock(BlockReason.ANSWERS_UNREAD)

    def eof_received(self) -> None:
        """Handle a close by the client. Buffered answers are still written, then the transport closes."""
        self.disconnect()
        if self.transport.get_write_buffer_size():
            self.table.restart_timeout(self)  # the client may never read them
        else:
            self.table.remove(self)

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002 - the transport's interface
        """Handle the end of the connection, closed by either side."""
        self.table.remove(self)
        self.disconnect()
        self.input.discard()
        self._buffer_use.update(0)

    # --- commands and answers -----------------------------------------------------------------------------

    def take_turn(self, credit: int) -> Turn:
        """Process commands until they cost `credit` or more, none is left or they are blocked."""
        self._blocked_by &= ~BlockReason.AWAITING_TURN
        if self._blocked_by or self._input_closed or self.transport.is_closing():
            return Turn(0, False)
        arguments: list[bytes] | None = None
        start, processed, cost = self.input.consumed_bytes, 0, 0
        try:
            while cost < credit and not self._blocked_by:
                if (arguments := self.input.next_command()) is None:
                    break
                self._process_command(arguments)
                processed += 1
                cost = processed * COMMAND_COST + self.input.consumed_bytes - start
        except resp.ProtocolError as error:
            self._refuse_input(f"Protocol error: {error}")
            self._count_held_bytes()
            return Turn(cost, False)
        if not self._input_closed:
            self._end_turn(processed, is_exhausted=arguments is None or not self.input.unread_bytes)
        return Turn(cost, bool(self._blocked_by & BlockReason.AWAITING_TURN))

    def _end_turn(self, processed: int, is_exhausted: bool) -> None:
        """Update the timeout, the reasons for waiting and the flow control after commands were processed."""
        is_partial = is_exhausted and not self.input.at_message_boundary()
        self.table.commands_processed(self, processed, is_partial)
        self._batch_length += processed
        if is_exhausted or self._batch_length >= MAX_BATCH:
            self._end_batch()
        if not self._blocked_by and not is_exhausted:
            self._blocked_by = BlockReason.AWAITING_TURN
        self._limit_memory(processed)
        self._update_reading()

    def _end_batch(self) -> None:
        """Pause if any command of the batch was invalid."""
        if self._batch_has_invalid:
            self._block(BlockReason.INVALID_COMMAND)
            self.table.loop.call_later(INVALID_COMMAND_PAUSE_S, self._unblock, BlockReason.INVALID_COMMAND)
        self._batch_length, self._batch_has_invalid = 0, False

    def _process_command(self, arguments: list[bytes]) -> None:
        """Submit or answer one command."""
        command = ClientCommand(self, self.input.last_arrival(), arguments)
        self.unanswered.append(command)
        self.table.mark_busy(self)
        try:
            if arguments[0] in CALL_ARGUMENT_COUNTS:
                self._submit(command)
            else:
                command.answer_ping()
        except InvalidCommandError as error:
            self._batch_has_invalid = True
            command.refuse(str(error))
        if len(self.unanswered) >= MAX_UNANSWERED:
            self._block(BlockReason.PIPELINE_FULL)

    def _submit(self, command: ClientCommand) -> None:
        command.parse_call(self.table.schema)
        # Without rejections, a busy connection would always have unanswered commands and never close.
        if self.table.shutting_down or self._uses_too_much_memory():
            command.reject(0)
            return
        command.request_id = self.table.engine.submit(command)
        if not command.request_id:
            # A rate server would treat it as a duplicate of the request in flight with the same ID.
            raise InvalidCommandError("the id is taken")

    def command_answered(self, added_bytes: int) -> None:
        """Write the answers that are ready; the answered command now uses this much more memory."""
        if not self.unanswered:  # the client has disconnected
            return
        self.unanswered.held_bytes += added_bytes
        self._write_answers()
        released = not self.unanswered or self.table.buffers.is_exceeded()
        # Most answers are short, and counted later.
        if added_bytes > 0 or (released and self._buffer_use.used_bytes):
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
            self.table.mark_idle(self)
            if self._input_closed or self.table.shutting_down:
                self.close()

    def _refuse_input(self, error: str) -> None:
        """Send an error after the pending answers, then close: later input cannot be parsed."""
        self._input_closed = True
        self.table.buffers.forget(self)
        self.input.discard()
        self._block(BlockReason.PIPELINE_FULL)
        self.reading.pause()
        command = ClientCommand(self, self.table.loop.time())
        self.unanswered.append(command)
        command.refuse(error)

    # --- flow control -------------------------------------------------------------------------------------

    def _block(self, reason: int) -> None:
        """Stop processing commands."""
        self._blocked_by |= reason
        self._update_reading()

    def _unblock(self, reason: int) -> None:
        """Clear a block reason; if no other remains, the commands that have arrived meanwhile get a turn."""
        self._blocked_by &= ~reason
        if self._input_closed or self._blocked_by or self.transport.is_closing() or self.poll_disconnect():
            return
        if self.input.unread_bytes:
            self._blocked_by = BlockReason.AWAITING_TURN
            self.table.scheduler.enqueue(self)
        self._update_reading()

    def _update_reading(self) -> None:
        """Pause or resume reading."""
        if self._input_closed or self.transport.is_closing():
            return
        if self._may_read_ahead():
            self.reading.resume()
        else:
            self.reading.pause()

    def _may_read_ahead(self) -> bool:
        """Return whether to read on, although commands that have been read may wait to be processed.

        While requests are unanswered, only reading shows in time that their client has closed. Otherwise, and
        if memory is short, some is read to record when commands arrive, unless the client is at fault.
        """
        if not self._blocked_by:
            return True
        if self.unanswered and not self._buffer_use.exceeds_share():
            return self.input.unread_bytes <= self.table.buffers.max_read_ahead_bytes
        is_at_fault = self._blocked_by & (BlockReason.ANSWERS_UNREAD | BlockReason.INVALID_COMMAND)
        return not is_at_fault and self.input.unread_bytes <= IDLE_READ_AHEAD_BYTES

    # --- memory -------------------------------------------------------------------------------------------

    def _count_held_bytes(self) -> None:
        self._buffer_use.update(
            self.input.held_bytes + self.unanswered.held_bytes + self.transport.get_write_buffer_size()
        )

    def _uses_too_much_memory(self) -> bool:
        if self.table.buffers.is_exceeded():
            self._count_held_bytes()
        return self._buffer_use.exceeds_share()

    def _limit_memory(self, processed: int) -> None:
        """Pause reading if this connection uses too much memory; complete commands are still processed.

        processed: number of commands that were complete in the last input.
        """
        self.input.release_read_data()
        self._count_held_bytes()
        ends_exemption = processed > 0 or bool(self._blocked_by & ~BlockReason.AWAITING_TURN)
        if not self._input_closed and self.table.buffers.must_wait(self, self._buffer_use, ends_exemption):
            self.reading.pause()

    def memory_available(self) -> None:
        """Continue to read, as the limit on buffers allows it again.

        An exemption from it is for the rest of a command, so not for a connection that cannot process one.
        """
        buffers = self.table.buffers
        if not self._blocked_by or not buffers.is_exceeded():
            self._update_reading()
        if self.reading.is_paused or self._input_closed or self.transport.is_closing():
            buffers.end_exemption(self)

    def is_stalled(self) -> bool:
        """Return whether much memory is used for a command whose rest has not arrived."""
        if self._blocked_by:
            return False
        return self.input.held_bytes > FREE_BYTES and not self.has_unread_input()

    def has_unread_input(self) -> bool:
        """Return whether input has arrived that has not been read."""
        return self.reading.has_unread_input()

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
        return bool(self._blocked_by and self.input.unread_bytes) or self.has_unread_input()

    def close(self, await_command: bool = True) -> None:
        """Send the end of the stream if nothing is owed to the client, then linger until the client closes.

        The connection stays open while a command is unanswered or unprocessed. With `await_command`, it also
        stays open if its first command or the rest of a command has not arrived.
        """
        if self.unanswered or self.ended_at is not None or self.transport.is_closing():
            return
        if not self._input_closed:
            if await_command and (self._received_nothing or not self.input.at_message_boundary()):
                return
            if self._may_hold_command():
                return
        self._end_stream()

    def finish_input(self) -> None:
        """Process all commands that have been read, read no others and close, as the process exits."""
        if self.ended_at is not None or self.transport.is_closing():
            return
        self.reading.pause()
        try:
            while not self._input_closed and (arguments := self.input.next_command()) is not None:
                self._process_command(arguments)
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
        self.ended_at = self.table.loop.time()
        self.input.discard()
        self.table.mark_busy(self)
        self.table.restart_timeout(self)
        self.transport.write_eof()
        self._blocked_by = 0
        self.table.buffers.forget(self)
        self._count_held_bytes()
        self.reading.resume()

    def abort(self) -> None:
        """Close immediately and discard unwritten data."""
        self.table.disconnect_poller.unwatch(self)
        self.transport.abort()

    def time_out(self) -> None:
        """Close the connection, as the client has not acted in time."""
        answers_unread = self._blocked_by & BlockReason.ANSWERS_UNREAD
        at_boundary = self.input.at_message_boundary()
        if answers_unread and self.ended_at is None and self.table.may_leave_unread(self):
            self.table.restart_timeout(self)
        elif answers_unread or self.ended_at is not None or self.transport.is_closing():
            self.abort()
        elif self._blocked_by & BlockReason.AWAITING_TURN or (
            (at_boundary or self.table.buffers.is_waiting(self)) and self._may_hold_command()
        ):
            self.table.restart_timeout(self)  # the client has acted, but its input has not been processed
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
        self.table.buffers.forget(self)
        for command in self.unanswered.clear():
            if command.request_id:
                self.table.engine.client_disconnected(command.request_id)
            command.release_arguments()
