"""IdleResetRates: which idle times are ruled out after resets, and when they are allowed again."""

import pytest

from rushroad.proxy.idle_resets import IdleResetRates


@pytest.fixture
def rates() -> IdleResetRates:
    return IdleResetRates()


def test_idle_time_of_repeated_resets_is_ruled_out_but_for_probes_until_requests_succeed(
    rates: IdleResetRates,
) -> None:
    # Devices between may forget a connection long before the endpoint closes it, and only the next request
    # shows it.
    for _ in range(20):
        rates.record(0.01, False)
        rates.record(0.3, True)
    assert rates.may_reuse(0.01, idempotent=False)
    assert not rates.may_reuse(0.3, idempotent=False)
    probes = [rates.may_reuse(0.3, idempotent=True) for _ in range(80)]
    assert probes.count(True) == 10
    for _ in range(40):
        rates.record(0.3, False)
    assert rates.may_reuse(0.3, idempotent=False)


def test_single_reset_rules_out_no_idle_time(rates: IdleResetRates) -> None:
    rates.record(0.3, True)
    assert rates.may_reuse(0.3, idempotent=False)
