"""Command line of the router daemon."""

import asyncio
import sys

import click

from quinceferryd.settings import Settings
from quinceferryd.settings_file import SettingsFileError, load_settings

INVALID_SETTINGS_EXIT_STATUS = 2
"""Exit status for an invalid settings file."""

_BLOCKED_LIBRARIES = ("pydantic", "rich")
"""Optional imports of the daemon's dependencies that a router does not use."""


@click.command()
@click.option("--config", "path", required=True, type=click.Path(), help="TOML settings file.")
@click.option("--check", is_flag=True, help="Check the settings file and exit.")
@click.version_option(package_name="quinceferry-daemon")
def main(path: str, check: bool) -> None:
    """Run a router until a signal or an operator stops it."""
    try:
        settings = load_settings(path)
    except SettingsFileError as error:
        click.echo(str(error), err=True)
        sys.exit(INVALID_SETTINGS_EXIT_STATUS)
    if check:
        click.echo(f"{path}: the settings are valid")
        return
    _run(settings)


def _run(settings: Settings) -> None:
    """Run a router; modules that ``--check`` does not need are imported here."""
    for name in _BLOCKED_LIBRARIES:
        # An entry of None makes the import fail as if the library were not installed.
        sys.modules.setdefault(name, None)
    from quinceferryd import daemon, logs

    logs.configure()
    asyncio.run(daemon.run(settings))
