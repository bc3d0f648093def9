"""Tests that the settings document is read into the policy's settings, and that errors name the key."""

import copy
from typing import Any

import pytest

from rushroad.policy.settings import CounterSettings, DeduplicationScope, Idempotency, SettingsError
from rushroad.policy.settings_reader import ProxySettings, read_proxy_settings, read_settings

MINIMAL_DOCUMENT: dict[str, Any] = {
    "classes": [{"name": "quote", "effect": "once", "goalTimeUs": 600_000, "giveUpUs": 900_000, "gain": 2.0}],
    "packages": [{"name": "basic"}],
    "fleetSize": 2,
    "selfIndex": 1,
    "tickUs": 1_000,
    "limits": {"maxAttempts": 3, "connIdleUs": 15_000_000},
    "safety": {
        "answerSlackUs": 8_000,
        "stopSendingWithinUs": 250_000,
        "coldFrom": 0.3,
        "coldUs": 9_000_000,
        "tipMultiple": 2.0,
        "fallUs": 1_000_000,
    },
}


def with_value(*path: str | int, value: object) -> dict[str, Any]:
    """Return MINIMAL_DOCUMENT with the value at this path replaced."""
    document = copy.deepcopy(MINIMAL_DOCUMENT)
    section: Any = document
    for key in path[:-1]:
        section = section[key]
    section[path[-1]] = value
    return document


def test_required_keys_alone_give_the_defaults() -> None:
    settings = read_settings(MINIMAL_DOCUMENT)
    (request_class,), (plan,) = settings.request_classes, settings.plans
    assert request_class.idempotency is Idempotency.NOT_IDEMPOTENT
    assert (request_class.latency_objective, request_class.deadline) == (600_000, 900_000)
    assert (request_class.priority_weight, request_class.late_weight) == (2.0, 0.0)
    assert request_class.deduplication_scope is DeduplicationScope.ALL
    assert (plan.rate, plan.burst, plan.concurrency, plan.weight_multiplier) == (0.0, 0.0, 0, 1.0)
    assert (settings.fleet_size, settings.gateway_index, settings.tick) == (2, 1, 1_000)
    assert settings.limits.max_attempts == 3
    assert not settings.limits.hedging_allowed
    assert settings.safety.warm_up_time == 9_000_000
    assert settings.counter is None
    assert settings.load_report_fields == ()
    assert not settings.polls_endpoints
    assert not settings.uses_endpoint_weights


@pytest.mark.parametrize(
    ("effect", "idempotency"),
    [
        ("repeatable", Idempotency.IDEMPOTENT),
        ("by_key", Idempotency.IDEMPOTENCY_KEY),
        ("once", Idempotency.NOT_IDEMPOTENT),
    ],
)
def test_effect_gives_the_idempotency(effect: str, idempotency: Idempotency) -> None:
    settings = read_settings(with_value("classes", 0, "effect", value=effect))
    assert settings.request_classes[0].idempotency is idempotency


@pytest.mark.parametrize("group", ["all", "zone", "cell"])
def test_group_gives_the_deduplication_scope(group: str) -> None:
    settings = read_settings(with_value("classes", 0, "group", value=group))
    assert settings.request_classes[0].deduplication_scope is DeduplicationScope(group)


def test_counter_is_read_only_if_enabled() -> None:
    extra = {"counter": True, "countLimitUs": 50_000, "callPrice": 0.25}
    assert read_settings(with_value("extra", value=extra)).counter == CounterSettings(50_000, 0.25)
    assert read_settings(with_value("extra", value=extra | {"counter": False})).counter is None


def test_names_are_indexed_in_the_order_of_the_document() -> None:
    document = MINIMAL_DOCUMENT | {"kinds": ["small", "large"], "areas": ["north"]}
    assert read_proxy_settings(document) == ProxySettings(
        class_indexes={"quote": 0},
        plan_indexes={"basic": 0},
        endpoint_class_indexes={"small": 0, "large": 1},
        zone_indexes={"north": 0},
        idle_timeout=15_000_000,
    )


@pytest.mark.parametrize(
    ("document", "text"),
    [
        ({}, "settings lack the key limits"),
        ([], "settings have a value of the wrong type: settings must be an object, not list"),
        (None, "settings have a value of the wrong type: settings must be an object, not NoneType"),
        (with_value("limits", value=3), "wrong type: limits must be an object, not int"),
        (with_value("limits", value={}), "settings lack the key limits.maxAttempts"),
        (with_value("safety", value={}), "settings lack the key safety.answerSlackUs"),
        (with_value("extra", value=None), "wrong type: extra must be an object, not NoneType"),
        (with_value("extra", value={"counter": True}), "settings lack the key extra.countLimitUs"),
        (with_value("classes", value=3), "wrong type: classes must be a list of objects, not int"),
        (with_value("classes", value=["quote"]), "wrong type: classes[0] must be an object, not str"),
        (with_value("classes", 0, value={"effect": "once"}), "settings lack the key classes[0].goalTimeUs"),
        (
            with_value("classes", 0, "effect", value="twice"),
            "settings: classes[0].effect must be one of by_key, once, repeatable, not 'twice'",
        ),
        (with_value("classes", 0, "effect", value=["once"]), "classes[0].effect must be one of"),
        (with_value("classes", 0, "group", value=None), "classes[0].group must be one of all, cell, zone"),
        (with_value("packages", value=[3]), "wrong type: packages[0] must be an object, not int"),
        (with_value("report", value={"fields": 3}), "wrong type: report.fields must be a list of strings"),
    ],
)
def test_error_for_invalid_settings_names_the_key_and_the_expected_value(document: Any, text: str) -> None:
    with pytest.raises(SettingsError) as error:
        read_settings(document)
    assert text in str(error.value)


@pytest.mark.parametrize(
    ("document", "text"),
    [
        (with_value("classes", 0, value={}), "settings lack the key classes[0].name"),
        (with_value("classes", 0, "name", value=[]), "wrong type: name must be a string"),
        (with_value("limits", value={}), "settings lack the key limits.connIdleUs"),
        (with_value("limits", "connIdleUs", value="soon"), "limits.connIdleUs must be an integer, not str"),
        (
            with_value("limits", "connIdleUs", value=None),
            "limits.connIdleUs must be an integer, not NoneType",
        ),
        (with_value("kinds", value=3), "wrong type: kinds must be a list of strings, not int"),
        (with_value("areas", value=[{}]), "wrong type: areas must be a string"),
    ],
)
def test_error_for_invalid_proxy_settings_names_the_key_and_the_expected_value(
    document: Any, text: str
) -> None:
    with pytest.raises(SettingsError) as error:
        read_proxy_settings(document)
    assert text in str(error.value)
