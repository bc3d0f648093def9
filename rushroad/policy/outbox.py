"""The actions that the handling of one event has decided so far."""

from __future__ import annotations

from rushroad.policy.actions import Action


class Outbox:
    """Collects actions in the order in which they were decided."""

    __slots__ = ("actions",)

    def __init__(self) -> None:
        self.actions: list[Action] = []

    def add(self, action: Action) -> None:
        """Append an action."""
        self.actions.append(action)

    def start(self) -> list[Action]:
        """Begin a new list for the next event, and return it."""
        self.actions = []
        return self.actions
