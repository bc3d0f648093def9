"""The command `fleetbench`: one subcommand an experiment."""

from __future__ import annotations

import click


@click.group()
@click.version_option(package_name="lynxreel")
def main() -> None:
    """Measure rushroad's gateways against stand-ins on loopback, and whole fleets of hollow ones."""


if __name__ == "__main__":
    main()
