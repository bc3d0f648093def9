"""Decodes endpoints' responses into the result, the value, the load report and the actual units.

Only this module knows the wire names of results and usage figures.
"""

from __future__ import annotations

import math
import re

from rushroad.policy.events import Result
from rushroad.policy.settings import Settings

RESPONSE_ITEM_COUNT = 3  # value, usage figures, load report
ERROR_RESULTS = {b"BUSY": Result.OVERLOADED, b"ERR failed": Result.ERROR}
# Usage figures have the form used=37,cost=4, where cost is the actual units.
USAGE_PREFIXES = (b"used=", b"cost=")  # of usage figures in error lines
ACTUAL_UNITS = re.compile(rb"(?:^|,)cost=(\d{1,9}(?:\.\d{1,9})?)(?:,|$)")


class UpstreamResponse:
    """A decoded response."""

    __slots__ = ("actual_units", "is_valid", "load_report", "result", "value")

    def __init__(
        self,
        result: Result,
        is_valid: bool,
        value: bytes = b"",
        load_report: tuple[float, ...] = (),
        actual_units: float | None = None,
    ) -> None:
        self.result = result
        self.is_valid = is_valid  # defined by the protocol; after any other response the connection is closed
        self.value = value
        self.load_report = load_report  # in the order of Settings.load_report_fields; empty if absent
        self.actual_units = actual_units  # None if absent, out of range or not used by the settings


class ResponseDecoder:
    """Decodes responses according to the settings of the deployment."""

    def __init__(self, settings: Settings) -> None:
        self._load_report_fields = settings.load_report_fields
        self._uses_actual_units, self._max_units = settings.uses_actual_units, settings.max_units
        # Prefixes of load reports in error lines; empty if load reports come by health check instead.
        in_responses = not settings.load_reports_by_health_check
        self._load_report_prefixes = (
            tuple(b"%b=" % name.encode() for name in settings.load_report_fields) if in_responses else ()
        )

    def decode(self, message: list[bytes | None] | bytes) -> UpstreamResponse:
        """Decode a RESP array, or an error line without its type byte."""
        if not isinstance(message, list):
            return self._decode_error(message)
        if len(message) != RESPONSE_ITEM_COUNT or (value := message[0]) is None:
            return UpstreamResponse(Result.ERROR, is_valid=False)
        _, usage, report = message
        return UpstreamResponse(
            Result.OK, True, value, self._parse_load_report(report), self._parse_actual_units(usage)
        )

    def _decode_error(self, line: bytes) -> UpstreamResponse:
        """Decode an error line: an error text, optionally followed by usage figures and a load report.

        Only an exact BUSY proves that nothing was executed.
        """
        error_text, report = line, None
        while error_text and error_text not in ERROR_RESULTS:
            error_text, _, suffix = error_text.rpartition(b" ")
            if suffix.startswith(self._load_report_prefixes):
                report = suffix
            elif not suffix.startswith(USAGE_PREFIXES):
                error_text = b""
        result = ERROR_RESULTS.get(error_text, Result.ERROR)
        return UpstreamResponse(
            result, error_text in ERROR_RESULTS, load_report=self._parse_load_report(report)
        )

    def _parse_load_report(self, text: bytes | None) -> tuple[float, ...]:
        """Parse a load report into the order of the settings; empty if it is absent or malformed."""
        if not text:
            return ()
        report = []
        try:
            figures = dict(item.split("=", 1) for item in text.decode().split(","))
            for name in self._load_report_fields:
                figure = float(figures[name])
                if not math.isfinite(figure) or figure < 0:
                    return ()
                report.append(figure)
        except (ValueError, KeyError):
            return ()
        return tuple(report)

    def _parse_actual_units(self, usage: bytes | None) -> float | None:
        """Parse the actual units from usage figures, if the settings use actual units."""
        found = ACTUAL_UNITS.search(usage) if usage and self._uses_actual_units else None
        if found is None:
            return None
        units = float(found[1])
        return units if 0 < units <= self._max_units else None
