"""The pipelined commands of a client connection that are not answered, in their order."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable

from rushroad.proxy.client_command import ClientCommand


class UnansweredCommands:
    """A queue of commands, whose answers are taken in the order of the commands."""

    __slots__ = ("_commands", "held_bytes")

    def __init__(self) -> None:
        self._commands: deque[ClientCommand] = deque()
        self.held_bytes = 0  # memory that the commands and their answers use

    def __len__(self) -> int:
        """Return how many commands have no answer, or one that waits for an earlier command's."""
        return len(self._commands)

    def append(self, command: ClientCommand) -> None:
        """Add a command."""
        self._commands.append(command)
        self.held_bytes += command.held_bytes

    def take_answers(self) -> list[bytes]:
        """Remove the commands at the front that have an answer; return their answers."""
        commands, answers = self._commands, []
        while commands and (answer := commands[0].answer) is not None:
            self.held_bytes -= commands.popleft().held_bytes
            answers.append(answer)
        return answers

    def clear(self) -> Iterable[ClientCommand]:
        """Remove and return all commands."""
        commands, self._commands, self.held_bytes = self._commands, deque(), 0
        return commands
