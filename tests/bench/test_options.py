"""The options that subcommands share."""

import click
import pytest

from rushroad.bench.options import parse_sizes


@pytest.mark.parametrize("text", ["", "3", "0/4", "3/x", "1/2/3"])
def test_a_malformed_size_is_an_error_of_the_command_line(text: str) -> None:
    with pytest.raises(click.BadParameter):
        parse_sizes(text)
