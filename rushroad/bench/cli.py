"""The command `rushroad-bench`, with one subcommand per experiment."""

from __future__ import annotations

import click

from rushroad.bench.real.commands import COMMANDS as REAL_COMMANDS
from rushroad.bench.simulated.commands import COMMANDS as SIMULATED_COMMANDS


@click.group()
@click.version_option(package_name="rushroad")
def main() -> None:
    """Measure real gateways against stand-ins on loopback, and simulated fleets."""


for command in (*SIMULATED_COMMANDS, *REAL_COMMANDS):
    main.add_command(command)


if __name__ == "__main__":
    main()
