"""The tenants that this gateway knows, with the state that the policy keeps for each.

Times are whole microseconds.
"""

from __future__ import annotations

from collections import OrderedDict, deque
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
DEFAULT_MAX_TENANTS = 200_000  # where no memory limit is given
MAX_SINGLE_REQUEST_FRACTION = 0.2  # of a full table, for tenants with a single request so far
MAX_VICTIMS_EXAMINED = 16  # tenants; those with open requests stay
WINDOW_STAGGER = 7919  # between the window boundaries of tenants with consecutive IDs


class Tenant:
    """One tenant's state at this gateway."""

    __slots__ = ("ceiling", "concurrency", "has_returned", "id", "usage")

    def __init__(self, tenant_id: int, usage: TenantUsage, ceiling: RateCeiling, now: int) -> None:
        self.id = tenant_id
        self.has_returned = False  # it has sent more than one request
        self.usage = usage
        self.ceiling = ceiling
        self.concurrency = ConcurrencyUsage(now)


class Tenants:
    """The table of tenants, the longest idle first.

    When it is full, tenants with a single request give way first, like the probationary segment of a
    segmented LRU cache, so that a flood of new tenants does not push out the quotas of those that come again.
    If few tenants have a single request, the longest idle of all gives way.
    """

    def __init__(self, settings: Settings, now: int, max_tenants: int = DEFAULT_MAX_TENANTS) -> None:
        self._call_timeout = settings.counter.timeout if settings.counter is not None else 0
        self._ceilings_empty_at = (
            now  # when the ceiling of a tenant that is not in the table was last used up
        )
        self._max_tenants = max(MIN_TENANTS, max_tenants)
        self._tenants: OrderedDict[int, Tenant] = OrderedDict()
        # In the order of their first request; may also hold tenants that have returned or were evicted.
        self._single_request: deque[Tenant] = deque()
        self._single_request_count = 0  # tenants in the table that have not returned

    def __len__(self) -> int:
        return len(self._tenants)

    def get(self, tenant_id: int) -> Tenant | None:
        """Return the tenant with this ID, if it is known."""
        return self._tenants.get(tenant_id)

    def refresh(self, request: Request, plan: Plan, now: int) -> Tenant:
        """Return the request's tenant with its state brought up to now; evicts tenants idle for long."""
        tenant = self._tenants.get(request.tenant)
        if tenant is None:
            tenant = self._add(request.tenant, plan, now)
        elif not tenant.has_returned:
            tenant.has_returned = True
            self._single_request_count -= 1
        self._tenants.move_to_end(request.tenant)
        self._evict_idle(tenant, now)
        tenant.usage.advance(plan, now)
        tenant.ceiling.refill(plan, max(1, request.entry_point_count), now)
        return tenant

    def create(self, tenant_id: int, plan: Plan, now: int) -> Tenant:
        """Return the initial state of a tenant, without adding it to the table."""
        window = CounterWindow(window_length(plan), self._call_timeout, tenant_id * WINDOW_STAGGER, now)
        return Tenant(tenant_id, TenantUsage(plan, window, now), RateCeiling(self._ceilings_empty_at), now)

    def _add(self, tenant_id: int, plan: Plan, now: int) -> Tenant:
        first_single = self._first_with_single_request()
        if len(self._tenants) >= self._max_tenants:
            self._make_room(first_single)
        tenant = self._tenants[tenant_id] = self.create(tenant_id, plan, now)
        self._single_request.append(tenant)
        self._single_request_count += 1
        return tenant

    def _make_room(self, first_single: Tenant | None) -> None:
        """Evict one tenant without open requests; none if all those examined have some."""
        victim = first_single
        if self._single_request_count <= self._max_tenants * MAX_SINGLE_REQUEST_FRACTION:
            longest_idle = islice(self._tenants.values(), MAX_VICTIMS_EXAMINED)
            victim = next((tenant for tenant in longest_idle if not tenant.concurrency.open_requests), victim)
        if victim is not None:
            # A tenant that comes back must not find its ceiling refilled.
            self._ceilings_empty_at = max(self._ceilings_empty_at, victim.usage.updated_at)
            self._remove(victim)

    def _first_with_single_request(self) -> Tenant | None:
        """Return the tenant without open requests whose single request came first; drop stale entries."""
        queue = self._single_request
        for _ in range(min(len(queue), MAX_VICTIMS_EXAMINED)):
            tenant = queue[0]
            if not self._has_single_request(tenant):
                queue.popleft()
            elif tenant.concurrency.open_requests:
                queue.rotate(-1)
            else:
                return tenant
        return None

    def _has_single_request(self, tenant: Tenant) -> bool:
        return not tenant.has_returned and self._tenants.get(tenant.id) is tenant

    def _remove(self, tenant: Tenant) -> None:
        del self._tenants[tenant.id]
        self._single_request_count -= not tenant.has_returned

    def _evict_idle(self, current: Tenant, now: int) -> None:
        if len(self._tenants) <= MIN_TENANTS:
            return
        for tenant_id in list(islice(self._tenants, EVICTION_CHECKS_PER_REQUEST)):
            tenant = self._tenants[tenant_id]
            is_idle = now - tenant.usage.updated_at > IDLE_TIMEOUT
            if tenant is not current and not tenant.concurrency.open_requests and is_idle:
                self._remove(tenant)
