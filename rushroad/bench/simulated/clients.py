"""Clients of a simulated fleet, which send a Poisson process of requests to each gateway."""

from __future__ import annotations

import itertools
from collections.abc import Iterable

from rushroad.bench.fleet_size import FleetSize
from rushroad.bench.simulated.fleet_settings import TENANT_REQUEST_RATE, UNITS_RANGE
from rushroad.bench.simulated.gateway import SimulatedGateway
from rushroad.bench.simulated.simulation import MILLISECOND, SECOND, Metric, Simulation
from rushroad.policy.events import Request

GATEWAY_FAILURE_DETECTION_TIME = 2_500 * MILLISECOND  # until clients stop sending to a stopped gateway
MAX_ENTRY_POINTS = 3  # gateways per tenant
IDEMPOTENCY_KEY_FRACTION = 0.27  # of the requests


class SimulatedClients:
    """Sends requests to each gateway; those for a stopped gateway go to the others once it is detected."""

    def __init__(self, simulation: Simulation, size: FleetSize, gateways: Iterable[SimulatedGateway]) -> None:
        self._simulation, self._size, self._gateways = simulation, size, list(gateways)
        self._request_ids = itertools.count(1)
        self._tenants_per_gateway = max(1, int(size.request_rate / TENANT_REQUEST_RATE))
        for gateway in self._gateways:
            self._schedule_request(gateway)

    def _schedule_request(self, gateway: SimulatedGateway) -> None:
        gap = int(self._simulation.random.expovariate(self._size.request_rate) * SECOND)
        self._simulation.schedule(gap, self._send_request, gateway)

    def _send_request(self, gateway: SimulatedGateway) -> None:
        self._schedule_request(gateway)
        self._simulation.count(Metric.REQUESTS)
        target = gateway
        stopped_at = gateway.stopped_at
        if stopped_at is not None and self._simulation.now - stopped_at > GATEWAY_FAILURE_DETECTION_TIME:
            running = [other for other in self._gateways if other.stopped_at is None]
            target = self._simulation.random.choice(running or [gateway])
        target.submit(self._request(gateway.index))

    def _request(self, gateway_index: int) -> Request:
        """Create a request of a random tenant whose entry points include this gateway."""
        random, gateways = self._simulation.random, self._size.gateways
        entry_point_count = min(MAX_ENTRY_POINTS, gateways)
        first_entry_point = (gateway_index - random.randrange(entry_point_count)) % gateways
        tenant = first_entry_point + gateways * random.randrange(self._tenants_per_gateway)
        class_index = int(random.random() < IDEMPOTENCY_KEY_FRACTION)
        units = float(random.randint(*UNITS_RANGE))
        deadline = self._simulation.settings.request_classes[class_index].deadline
        return Request(
            next(self._request_ids),
            class_index,
            0,
            tenant,
            units,
            deadline,
            entry_point_count,
            first_entry_point,
        )
