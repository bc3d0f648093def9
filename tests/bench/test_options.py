"""Parsing of shared command-line options."""

import click
import pytest

from rushroad.bench.options import parse_sizes


@pytest.mark.parametrize("text", ["", "3", "0/4", "3/x", "1/2/3"])
def test_malformed_size_is_a_usage_error(text: str) -> None:
    with pytest.raises(click.BadParameter):
        parse_sizes(text)
