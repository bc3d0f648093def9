"""A scripted policy that replaces the gateway's policy in tests."""

from collections.abc import Callable, Iterator

import pytest

from rushroad.policy.actions import Action
from rushroad.policy.events import Event

Script = Callable[[Event], Iterator[Action]]


class ScriptedPolicy:
    """Returns the actions of a script for each event and records the events in order."""

    def __init__(self, script: Script) -> None:
        self._script = script
        self.events: list[Event] = []

    def handle(self, _now: int, event: Event) -> list[Action]:
        self.events.append(event)
        return list(self._script(event))


def install_policy(monkeypatch: pytest.MonkeyPatch, script: Script) -> ScriptedPolicy:
    """Make all engines created from now on use a scripted policy."""
    policy = ScriptedPolicy(script)
    monkeypatch.setattr("rushroad.proxy.engine.Gateway", lambda *_: policy)
    return policy
