"""Decodes what endpoints respond: the result, the value, the load report and the actual units.

The operators' words for them stand only here.
"""

from __future__ import annotations

import math
import re

from rushroad.policy.events import Result
from rushroad.policy.settings import Settings

RESPONSE_ITEMS = 3  # the value, the usage figures, the load report
ERROR_RESULTS = {b"BUSY": Result.OVERLOADED, b"ERR failed": Result.ERROR}
USAGE_PREFIXES = (b"used=", b"cost=")  # how usage figures begin in error lines
ACTUAL_UNITS = re.compile(rb"(?:^|,)cost=(\d{1,9}(?:\.\d{1,9})?)(?:,|$)")  # in the usage figures


class UpstreamResponse:
    """A decoded response."""

    __slots__ = ("actual_units", "known", "load_report", "result", "value")

    def __init__(
        self,
        result: Result,
        known: bool,
        value: bytes = b"",
        load_report: tuple[float, ...] = (),
        actual_units: float | None = None,
    ) -> None:
        self.result = result
        self.known = known  # the protocol has such a response; after any other none can be trusted
        self.value = value
        self.load_report = load_report  # in the order of Settings.load_report_fields; empty where none came
        self.actual_units = actual_units  # None where none came or they do not count


class ResponseDecoder:
    """Decodes responses by the settings of the deployment."""

    def __init__(self, settings: Settings) -> None:
        self._load_report_fields = settings.load_report_fields
        self._settles_units, self._max_units = settings.settles_units, settings.max_units
        # How load reports begin in error lines; none where responses hold no load reports.
        in_responses = not settings.load_reports_by_health_check
        self._load_report_prefixes = (
            tuple(b"%b=" % name.encode() for name in settings.load_report_fields) if in_responses else ()
        )

    def decode(self, message: list[bytes | None] | bytes) -> UpstreamResponse:
        """Decode a RESP array, or an error line without its first byte."""
        if not isinstance(message, list):
            return self._decode_error(message)
        if len(message) != RESPONSE_ITEMS or (value := message[0]) is None:
            return UpstreamResponse(Result.ERROR, known=False)
        _, usage, load = message
        return UpstreamResponse(Result.OK, True, value, self._load_report(load), self._actual_units(usage))

    def _decode_error(self, line: bytes) -> UpstreamResponse:
        """Decode an error line: its words, behind which usage figures and a load report may stand.

        Only an exact BUSY proves that nothing was executed.
        """
        words, load = line, None
        while words and words not in ERROR_RESULTS:
            words, _, figures = words.rpartition(b" ")
            if figures.startswith(self._load_report_prefixes):
                load = figures
            elif not figures.startswith(USAGE_PREFIXES):
                words = b""
        result = ERROR_RESULTS.get(words, Result.ERROR)
        return UpstreamResponse(result, words in ERROR_RESULTS, load_report=self._load_report(load))

    def _load_report(self, text: bytes | None) -> tuple[float, ...]:
        """Parse a load report into the order of the settings; empty where it is not one."""
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

    def _actual_units(self, usage: bytes | None) -> float | None:
        """Parse the actual units out of usage figures, where the deployment settles by them."""
        found = ACTUAL_UNITS.search(usage) if usage and self._settles_units else None
        if found is None:
            return None
        units = float(found[1])
        return units if 0 < units <= self._max_units else None
