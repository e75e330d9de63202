"""Command line of the router daemon."""

import asyncio
import sys

import click

from quinceferryd import logs
from quinceferryd.settings_file import SettingsFileError, load

SETTINGS_EXIT_STATUS = 2
"""Exit status when the settings hold faults."""


@click.command()
@click.option("--config", "path", required=True, type=click.Path(), help="TOML settings file.")
@click.option("--check", is_flag=True, help="Check the settings file and exit.")
@click.version_option(package_name="quinceferry-daemon")
def main(path: str, check: bool) -> None:
    """Run a router until it is told to stop."""
    try:
        settings = load(path)
    except SettingsFileError as error:
        click.echo(str(error), err=True)
        sys.exit(SETTINGS_EXIT_STATUS)
    if check:
        click.echo(f"{path}: the settings are valid")
        return
    # Checking a file needs none of the libraries that a running router loads.
    from quinceferryd.daemon import run

    logs.configure()
    asyncio.run(run(settings))
