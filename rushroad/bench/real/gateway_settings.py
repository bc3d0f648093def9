"""The settings of real gateways, in the form that their configuration files hold."""

from __future__ import annotations

from typing import Any

REQUEST_CLASS, PLAN = "quote", "small"  # all requests are of one class, and all usual tenants on one plan
FLOOD_PLAN = "tiny"  # of flooding clients, nearly all of whose requests are rejected


def gateway_settings(fleet_size: int, index: int) -> dict[str, Any]:
    """Return the settings of the gateway with this index in a fleet of this size.

    The usual plan's quota is high, so that admitted requests are measured and not rejections.
    """
    return {
        "classes": [_request_class()],
        "packages": [
            {"name": PLAN, "quotaRate": 200.0, "mostAtOnce": 400.0, "neverOverRate": 0.0},
            {"name": FLOOD_PLAN, "quotaRate": 2.0, "mostAtOnce": 10.0, "neverOverRate": 0.0},
        ],
        "areas": ["room-a", "room-b", "room-c"],
        "kinds": ["full", "slow"],
        "fleetSize": fleet_size,
        "selfIndex": index,
        "tickUs": 4_000,
        "zone": index % 3,
        "limits": {
            "maxAttempts": 3,
            "mayCancel": True,
            "connIdleUs": 30_000_000,
            "connectTimeoutUs": 250_000,
        },
        "safety": {
            "answerSlackUs": 16_000,
            "stopSendingWithinUs": 500_000,
            "coldFrom": 0.19,
            "coldUs": 17_000_000,
            "tipMultiple": 2.0,
            "fallUs": 1_500_000,
        },
        "extra": {"counter": True, "countLimitUs": 80_000, "unitsTop": 4},
        "report": {"fields": ["inflight"], "via": "inline"},
        "registryMode": "automatic",
    }


def _request_class() -> dict[str, Any]:
    return {
        "name": REQUEST_CLASS,
        "effect": "repeatable",
        "gain": 1.0,
        "giveUpUs": 10_000_000,
        "goalTimeUs": 3_000_000,
        "group": "all",
        "lateWorth": 0.0,
        "streamed": False,
        "windowUs": 5_000_000,
    }
