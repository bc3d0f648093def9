"""The tenants that this gateway knows, with what each part of the policy keeps of them."""

from __future__ import annotations

from collections import OrderedDict
from itertools import islice

from rushroad.policy.concurrency_usage import ConcurrencyUsage
from rushroad.policy.counter_window import CounterWindow
from rushroad.policy.durations import SECOND
from rushroad.policy.events import Request
from rushroad.policy.rate_ceiling import RateCeiling
from rushroad.policy.settings import Plan, Settings
from rushroad.policy.tenant_usage import TenantUsage, window_length

IDLE_TIME = 30 * SECOND  # microseconds after which a tenant without open requests is forgotten
MIN_TENANTS = 64  # so many are kept however long they have been idle
EVICTIONS_PER_REQUEST = 2  # tenants checked, the longest idle first
WINDOW_OFFSET = 7919  # microseconds by which the windows of consecutive tenants are apart


class Tenant:
    """One tenant."""

    __slots__ = ("ceiling", "concurrency", "id", "usage")

    def __init__(self, tenant_id: int, usage: TenantUsage, ceiling: RateCeiling, now: int) -> None:
        self.id = tenant_id
        self.usage = usage
        self.ceiling = ceiling
        self.concurrency = ConcurrencyUsage(now)


class Tenants:
    """The table of tenants, the longest idle first."""

    def __init__(self, settings: Settings, now: int) -> None:
        self._call_timeout = settings.counter.timeout if settings.counter is not None else 0
        self._started_at = now
        self._tenants: OrderedDict[int, Tenant] = OrderedDict()

    def __len__(self) -> int:
        return len(self._tenants)

    def get(self, tenant_id: int) -> Tenant | None:
        """Return a tenant that is known."""
        return self._tenants.get(tenant_id)

    def refresh(self, request: Request, plan: Plan, now: int) -> Tenant:
        """Return the request's tenant with its state brought up to now; tenants long idle are forgotten."""
        tenant = self._tenants.get(request.tenant)
        if tenant is None:
            tenant = self._tenants[request.tenant] = self.create(request.tenant, plan, now)
        self._tenants.move_to_end(request.tenant)
        self._evict(tenant, now)
        tenant.usage.advance(plan, now)
        tenant.ceiling.refill(plan, max(1, request.entry_points), now)
        return tenant

    def create(self, tenant_id: int, plan: Plan, now: int) -> Tenant:
        """Return the state of a tenant that is not known, without an entry in the table."""
        window = CounterWindow(window_length(plan), self._call_timeout, tenant_id * WINDOW_OFFSET, now)
        return Tenant(tenant_id, TenantUsage(plan, window, now), RateCeiling(self._started_at), now)

    def _evict(self, current: Tenant, now: int) -> None:
        if len(self._tenants) <= MIN_TENANTS:
            return
        for tenant_id in list(islice(self._tenants, EVICTIONS_PER_REQUEST)):
            tenant = self._tenants[tenant_id]
            idle = now - tenant.usage.updated_at > IDLE_TIME
            if tenant is not current and not tenant.concurrency.open_requests and idle:
                del self._tenants[tenant_id]
