"""A settings document as the simulator sends it, with keys that the gateway does not know."""

from typing import Any

SETTINGS_DOCUMENT: dict[str, Any] = {
    "classes": [
        {
            "effect": "repeatable",
            "gain": 1.0,
            "giveUpUs": 3000000,
            "goalTimeUs": 1000000,
            "group": "all",
            "lateWorth": 0.0,
            "streamed": False,
            "windowUs": 5000000,
            "fresh": 1,
        },
    ],
    "packages": [{"quotaRate": 2.0, "mostAtOnce": 8.0, "neverOverRate": 0.0}],
    "fleetSize": 2,
    "selfIndex": 0,
    "tickUs": 1000,
    "unknown": [1, 2],
    "limits": {"maxAttempts": 3, "mayCancel": True},
    "safety": {
        "answerSlackUs": 8000,
        "stopSendingWithinUs": 250000,
        "coldFrom": 0.3,
        "coldUs": 9000000,
        "tipMultiple": 2.0,
        "fallUs": 1000000,
    },
    "extra": {"counter": True, "countLimitUs": 50000},
    "report": {"fields": ["inflight"], "via": "inline"},
}
