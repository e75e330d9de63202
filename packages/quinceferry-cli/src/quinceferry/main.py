"""Command ``quinceferry``, the command line for operators and callers."""

import sys
from pathlib import Path

import click

from quinceferry import caller_commands, log_commands, operator_commands
from quinceferry.configuration import ClientConfiguration, read_file
from quinceferry.exceptions import ChangePendingError, OutcomeUnknownError, RequestError

EXIT_FAILED = 1
EXIT_OUTCOME_UNKNOWN = 3
"""The request may have run and must not be sent with a new request id."""
EXIT_CHANGE_PENDING = 4
"""The change is stored but not yet applied everywhere."""


@click.group(context_settings={"show_default": True})
@click.option(
    "--config",
    "path",
    envvar="QUINCEFERRY_CONFIG",
    type=click.Path(path_type=Path, dir_okay=False),
    help="TOML file with routers, operator_key, workspace_key and zone.",
)
@click.option(
    "--router",
    "routers",
    multiple=True,
    envvar="QUINCEFERRY_ROUTERS",
    help="Base URL of a router; repeatable.",
)
@click.option("--operator-key", envvar="QUINCEFERRY_OPERATOR_KEY", help="Operators' bearer key.")
@click.option("--workspace-key", envvar="QUINCEFERRY_WORKSPACE_KEY", help="Workspace bearer key.")
@click.option("--zone", envvar="QUINCEFERRY_ZONE", help="Availability zone of this caller.")
@click.version_option(package_name="quinceferry-cli")
@click.pass_context
def quinceferry(
    context: click.Context,
    path: Path | None,
    routers: tuple[str, ...],
    operator_key: str | None,
    workspace_key: str | None,
    zone: str | None,
) -> None:
    """Operate and call a quinceferry router fleet."""
    table = read_file(path)
    context.obj = ClientConfiguration(
        routers=routers or tuple(table.get("routers", ())),
        operator_key=operator_key or table.get("operator_key", ""),
        workspace_key=workspace_key or table.get("workspace_key", ""),
        zone=zone or table.get("zone", ""),
    )


quinceferry.add_command(operator_commands.operator)
quinceferry.add_command(operator_commands.status)
quinceferry.add_command(operator_commands.drain)
quinceferry.add_command(log_commands.explain_request)
quinceferry.add_command(caller_commands.address)
quinceferry.add_command(caller_commands.ask)


def main() -> None:
    """Run the command line; errors are reported by a message and the exit status."""
    try:
        quinceferry(prog_name="quinceferry")
    except OutcomeUnknownError as error:
        click.echo(f"outcome unknown: {error}", err=True)
        sys.exit(EXIT_OUTCOME_UNKNOWN)
    except ChangePendingError as error:
        click.echo(f"pending: {error}", err=True)
        sys.exit(EXIT_CHANGE_PENDING)
    except RequestError as error:
        click.echo(f"failed: {error}", err=True)
        sys.exit(EXIT_FAILED)


if __name__ == "__main__":
    main()
