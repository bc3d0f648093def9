"""Reads the settings document of a deployment; the only module of the policy that knows its keys.

The simulator and the configuration file contain the same document, a decoded JSON object. Unknown keys are
ignored. Times are whole microseconds.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Any, TypeVar

from rushroad.policy.settings import (
    CounterSettings,
    DeduplicationScope,
    Idempotency,
    Limits,
    Plan,
    RequestClass,
    SafetyLimits,
    Settings,
    SettingsError,
)

Choice = TypeVar("Choice")

IDEMPOTENCY_BY_EFFECT = {
    "repeatable": Idempotency.IDEMPOTENT,
    "by_key": Idempotency.IDEMPOTENCY_KEY,
    "once": Idempotency.NOT_IDEMPOTENT,
}
SCOPE_BY_GROUP = {
    "all": DeduplicationScope.ALL,
    "zone": DeduplicationScope.ZONE,
    "cell": DeduplicationScope.CELL,
}
ENABLED_WEIGHT_MODES = ("nominal", "rough")


class _Section:
    """An object of the document, with its path for error messages."""

    __slots__ = ("_path", "_values")

    def __init__(self, value: Any, path: str) -> None:
        if not isinstance(value, dict):
            raise _wrong_type(path or "settings", "an object", value)
        self._values: dict[str, Any] = value
        self._path = path

    def required(self, key: str) -> Any:
        if key not in self._values:
            raise SettingsError(f"settings lack the key {self._path_of(key)}")
        return self._values[key]

    def optional(self, key: str, default: Any) -> Any:
        return self._values.get(key, default)

    def section(self, key: str) -> _Section:
        return _Section(self.required(key), self._path_of(key))

    def optional_section(self, key: str) -> _Section:
        return _Section(self.optional(key, {}), self._path_of(key))

    def sections(self, key: str) -> list[_Section]:
        """Return the objects of a list."""
        path, values = self._path_of(key), self.required(key)
        try:
            return [_Section(value, f"{path}[{index}]") for index, value in enumerate(values)]
        except TypeError:
            raise _wrong_type(path, "a list of objects", values) from None

    def strings(self, key: str) -> tuple[str, ...]:
        """Return the strings of a list, or an empty tuple if the key is missing."""
        values = self.optional(key, ())
        try:
            return tuple(values)
        except TypeError:
            raise _wrong_type(self._path_of(key), "a list of strings", values) from None

    def integer(self, key: str) -> int:
        value = self.required(key)
        try:
            return int(value)
        except (TypeError, ValueError):
            raise _wrong_type(self._path_of(key), "an integer", value) from None

    def choice(self, key: str, choices: Mapping[str, Choice], default: str | None = None) -> Choice:
        """Return the choice for the key's string value; a missing key without a default is an error."""
        value = self.required(key) if default is None else self.optional(key, default)
        if not isinstance(value, str) or value not in choices:
            expected = ", ".join(sorted(choices))
            raise SettingsError(f"settings: {self._path_of(key)} must be one of {expected}, not {value!r}")
        return choices[value]

    def _path_of(self, key: str) -> str:
        return f"{self._path}.{key}" if self._path else key


def _wrong_type(path: str, expected: str, value: Any) -> SettingsError:
    return SettingsError(
        f"settings have a value of the wrong type: {path} must be {expected}, not {type(value).__name__}"
    )


def read_settings(document: Any) -> Settings:
    """Read the settings that the policy depends on.

    Raises SettingsError if a required key is missing, an enumerated value is unknown, or an object or list
    has the wrong type. The types of numbers and booleans are not checked.
    """
    root = _Section(document, "")
    limits, safety = root.section("limits"), root.section("safety")
    extra, load_report = root.optional_section("extra"), root.optional_section("report")
    return Settings(
        request_classes=tuple(_read_request_class(section) for section in root.sections("classes")),
        plans=tuple(_read_plan(section) for section in root.sections("packages")),
        fleet_size=root.required("fleetSize"),
        gateway_index=root.required("selfIndex"),
        zone=root.optional("zone", 0),
        tick=root.required("tickUs"),
        limits=_read_limits(limits),
        safety=_read_safety_limits(safety),
        counter=_read_counter(extra) if extra.optional("counter", False) else None,
        max_units=extra.optional("unitsTop", 1),
        uses_actual_units=extra.optional("truedUp", False),
        uses_endpoint_weights=root.optional("weights", "off") in ENABLED_WEIGHT_MODES,
        polls_endpoints=root.optional("registryMode", None) == "subscribe",
        load_report_fields=load_report.strings("fields"),
        load_reports_by_health_check=load_report.optional("via", None) == "on_probe",
    )


def _read_request_class(section: _Section) -> RequestClass:
    return RequestClass(
        idempotency=section.choice("effect", IDEMPOTENCY_BY_EFFECT),
        latency_objective=section.required("goalTimeUs"),
        deadline=section.required("giveUpUs"),
        priority_weight=section.required("gain"),
        late_weight=section.optional("lateWorth", 0.0),
        deduplication_scope=section.choice("group", SCOPE_BY_GROUP, "all"),
        deduplication_window=section.optional("windowUs", 0),
        streamed=section.optional("streamed", False),
    )


def _read_plan(section: _Section) -> Plan:
    return Plan(
        rate=section.optional("quotaRate", 0.0),
        burst=section.optional("mostAtOnce", 0.0),
        concurrency=section.optional("concurrency", 0),
        ceiling_rate=section.optional("neverOverRate", 0.0),
        ceiling_burst=section.optional("ceilingBurst", 0.0),
        ceiling_slack=section.optional("hardSlack", 0.0),
        weight_multiplier=section.optional("pays", 1.0),
        overage_weight=section.optional("beyondEarns", 0.0),
        overage_cost=section.optional("overCost", 0.0),
    )


def _read_limits(section: _Section) -> Limits:
    return Limits(
        max_attempts=section.required("maxAttempts"),
        hedging_allowed=section.optional("secondCopies", False),
        cancellation_allowed=section.optional("mayCancel", False),
        health_checks_allowed=section.optional("probing", False),
        peer_messages_allowed=section.optional("peers", False),
        retry_after_allowed=section.optional("retryAfter", False),
        max_retry_after=section.optional("maxRetryAfterUs", 0),
        connect_timeout=section.optional("connectTimeoutUs", 0),
    )


def _read_safety_limits(section: _Section) -> SafetyLimits:
    return SafetyLimits(
        answer_slack=section.required("answerSlackUs"),
        drain_grace=section.required("stopSendingWithinUs"),
        initial_capacity=section.required("coldFrom"),
        warm_up_time=section.required("coldUs"),
        overload_multiple=section.required("tipMultiple"),
        overload_window=section.required("fallUs"),
        poll_interval=section.optional("askWithinUs", 0),
    )


def _read_counter(section: _Section) -> CounterSettings:
    return CounterSettings(
        timeout=section.required("countLimitUs"), call_cost=section.optional("callPrice", 0.0)
    )


@dataclass(frozen=True, slots=True)
class ProxySettings:
    """The settings that only the proxy needs: the policy identifies classes, plans and zones by index."""

    class_indexes: dict[str, int]  # into Settings.request_classes, by class name
    plan_indexes: dict[str, int]  # into Settings.plans, by plan name
    endpoint_class_indexes: dict[str, int]
    zone_indexes: dict[str, int]
    idle_timeout: int  # time after which an endpoint closes an idle connection


def read_proxy_settings(document: Any) -> ProxySettings:
    """Read the settings that only the proxy needs; raises SettingsError as read_settings does."""
    root = _Section(document, "")
    return ProxySettings(
        class_indexes=_index_sections(root.sections("classes")),
        plan_indexes=_index_sections(root.sections("packages")),
        endpoint_class_indexes=_index_names(root.strings("kinds"), "each of kinds"),
        zone_indexes=_index_names(root.strings("areas"), "each of areas"),
        idle_timeout=root.section("limits").integer("connIdleUs"),
    )


def _index_sections(sections: list[_Section]) -> dict[str, int]:
    return _index_names([section.required("name") for section in sections], "the name of a class or package")


def _index_names(names: Sequence[str], subject: str) -> dict[str, int]:
    """Return the index of each name; `subject` says in an error message what must be a string."""
    try:
        return {name: index for index, name in enumerate(names)}
    except TypeError:  # not hashable
        raise SettingsError(f"settings have a value of the wrong type: {subject} must be a string") from None
