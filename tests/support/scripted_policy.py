"""A policy whose actions a test scripts, in place of the gateway's own."""

from collections.abc import Callable, Iterator

import pytest

from rushroad.policy.actions import Action
from rushroad.policy.events import Event

Script = Callable[[Event], Iterator[Action]]


class ScriptedPolicy:
    """Answers each event with the actions of a script; keeps the events in order."""

    def __init__(self, script: Script) -> None:
        self._script = script
        self.events: list[Event] = []

    def handle(self, _now: int, event: Event) -> list[Action]:
        self.events.append(event)
        return list(self._script(event))


def install_policy(monkeypatch: pytest.MonkeyPatch, script: Script) -> ScriptedPolicy:
    """Have engines that are made from now on use a scripted policy."""
    policy = ScriptedPolicy(script)
    monkeypatch.setattr("rushroad.proxy.engine.Gateway", lambda *_: policy)
    return policy
