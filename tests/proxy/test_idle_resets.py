"""IdleResetRates: which idle times are excluded after resets, and when they are allowed again."""

import pytest

from rushroad.proxy.idle_resets import IdleResetRates


@pytest.fixture
def rates() -> IdleResetRates:
    return IdleResetRates()


def test_idle_time_with_repeated_resets_is_excluded_except_for_probes_until_requests_succeed(
    rates: IdleResetRates,
) -> None:
    # Network devices may drop a connection long before the endpoint closes it, which only the next request
    # reveals.
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


def test_single_reset_does_not_exclude_an_idle_time(rates: IdleResetRates) -> None:
    rates.record(0.3, True)
    assert rates.may_reuse(0.3, idempotent=False)
