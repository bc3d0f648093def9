"""The actions decided so far while one event is handled; one outbox is shared by all components."""

from __future__ import annotations

from rushroad.policy.actions import Action


class Outbox:
    """Collects actions in order of decision."""

    __slots__ = ("actions",)

    def __init__(self) -> None:
        self.actions: list[Action] = []

    def add(self, action: Action) -> None:
        """Append an action."""
        self.actions.append(action)

    def start_event(self) -> list[Action]:
        """Start a new list of actions for the next event, and return it."""
        self.actions = []
        return self.actions
