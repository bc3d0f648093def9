"""The tenants that this gateway knows, with the state that the policy keeps for each.

Times are whole microseconds.
"""

from __future__ import annotations

from collections import OrderedDict
from itertools import islice

from rushroad.policy.concurrency_usage import ConcurrencyUsage
from rushroad.policy.counter_window import CounterWindow
from rushroad.policy.events import Request
from rushroad.policy.rate_ceiling import RateCeiling
from rushroad.policy.settings import Plan, Settings
from rushroad.policy.tenant_usage import TenantUsage, window_length
from rushroad.policy.time_units import SECOND

IDLE_TIMEOUT = 30 * SECOND  # after which a tenant without open requests may be evicted
MIN_TENANTS = 64  # table size up to which no tenant is evicted, however long idle
EVICTION_CHECKS_PER_REQUEST = 2  # tenants checked, the longest idle first
WINDOW_STAGGER = 7919  # between the window boundaries of tenants with consecutive IDs


class Tenant:
    """One tenant's state at this gateway."""

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
        """Return the tenant with this ID, if it is known."""
        return self._tenants.get(tenant_id)

    def refresh(self, request: Request, plan: Plan, now: int) -> Tenant:
        """Return the request's tenant with its state brought up to now; evicts tenants idle for long."""
        tenant = self._tenants.get(request.tenant)
        if tenant is None:
            tenant = self._tenants[request.tenant] = self.create(request.tenant, plan, now)
        self._tenants.move_to_end(request.tenant)
        self._evict_idle(tenant, now)
        tenant.usage.advance(plan, now)
        tenant.ceiling.refill(plan, max(1, request.entry_point_count), now)
        return tenant

    def create(self, tenant_id: int, plan: Plan, now: int) -> Tenant:
        """Return the initial state of a tenant, without adding it to the table."""
        window = CounterWindow(window_length(plan), self._call_timeout, tenant_id * WINDOW_STAGGER, now)
        return Tenant(tenant_id, TenantUsage(plan, window, now), RateCeiling(self._started_at), now)

    def _evict_idle(self, current: Tenant, now: int) -> None:
        if len(self._tenants) <= MIN_TENANTS:
            return
        for tenant_id in list(islice(self._tenants, EVICTION_CHECKS_PER_REQUEST)):
            tenant = self._tenants[tenant_id]
            is_idle = now - tenant.usage.updated_at > IDLE_TIMEOUT
            if tenant is not current and not tenant.concurrency.open_requests and is_idle:
                del self._tenants[tenant_id]
