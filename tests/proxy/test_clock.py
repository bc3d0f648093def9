"""The gateway's clock."""

import pytest

from rushroad.proxy.clock import Clock


def test_gateways_agree_on_the_time_and_ignore_changes_of_the_system_clock(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # The shared counter's windows are numbered by the clock, so the numbers must be the same on all gateways.
    unix_at_boot_ns, since_boot_ns = 1_800_000_000_000_000_000, {"now": 5_000_000_000}
    monkeypatch.setattr("time.time_ns", lambda: unix_at_boot_ns + since_boot_ns["now"])
    monkeypatch.setattr("time.monotonic_ns", lambda: since_boot_ns["now"])
    first = Clock()
    since_boot_ns["now"] += 7_000_000_000
    # The second gateway runs on a machine that was booted later.
    monkeypatch.setattr("time.monotonic_ns", lambda: since_boot_ns["now"] - 6_000_000_000)
    second = Clock()
    assert second.now_us() == (unix_at_boot_ns + since_boot_ns["now"]) // 1_000
    monkeypatch.setattr("time.monotonic_ns", lambda: since_boot_ns["now"])
    assert first.now_us() == (unix_at_boot_ns + since_boot_ns["now"]) // 1_000
    monkeypatch.setattr("time.time_ns", lambda: 0)  # a system clock set back
    assert first.now_us() == (unix_at_boot_ns + since_boot_ns["now"]) // 1_000
