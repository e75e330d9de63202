"""Configuration of the command line.

Options override environment variables, which override the TOML file.
"""

import tomllib
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import click

DEFAULT_PATH = Path.home() / ".config" / "quinceferry" / "client.toml"
"""Configuration file that is read if it exists and no other file is given."""

_ALLOWED_KEYS = frozenset({"routers", "operator_key", "workspace_key", "zone"})


@dataclass(slots=True, frozen=True)
class ClientConfiguration:
    """Addresses of the fleet, and the keys for its APIs."""

    routers: tuple[str, ...]
    operator_key: str = ""
    workspace_key: str = ""
    zone: str = ""

    def require_routers(self) -> tuple[str, ...]:
        """Return the routers; end the command with an error if there are none."""
        if not self.routers:
            raise click.UsageError("no router given: use --router, QUINCEFERRY_ROUTERS or the file")
        return self.routers

    def require_operator_key(self) -> str:
        """Return the operators' key; end the command with an error if there is none."""
        if not self.operator_key:
            raise click.UsageError(
                "no operator key given: use QUINCEFERRY_OPERATOR_KEY or the file"
            )
        return self.operator_key

    def require_workspace_key(self) -> str:
        """Return the workspace's key; end the command with an error if there is none."""
        if not self.workspace_key:
            raise click.UsageError(
                "no workspace key given: use QUINCEFERRY_WORKSPACE_KEY or the file"
            )
        return self.workspace_key


def read_file(path: Path | None) -> dict[str, Any]:
    """Read the configuration file.

    :param path: the file; None for the default file, which may be absent.
    :return: values by key.
    :raises click.UsageError: the file cannot be read, or has unknown keys or values of wrong types.
    """
    if path is None and not DEFAULT_PATH.exists():
        return {}
    source = path or DEFAULT_PATH
    try:
        table = tomllib.loads(source.read_text())
    except (OSError, tomllib.TOMLDecodeError) as error:
        raise click.UsageError(f"{source}: {error}") from error
    errors = [f"{source}: {key}: {reason}" for key, reason in _find_errors(table)]
    if errors:
        raise click.UsageError("\n".join(errors))
    return table


def _find_errors(table: dict[str, Any]) -> list[tuple[str, str]]:
    """Return all errors of a configuration file, each with its key."""
    errors = [(key, "unknown key") for key in table if key not in _ALLOWED_KEYS]
    for key in sorted(_ALLOWED_KEYS & table.keys()):
        value = table[key]
        if key == "routers":
            if not isinstance(value, list) or not all(isinstance(item, str) for item in value):
                errors.append((key, "must be a list of strings"))
        elif not isinstance(value, str):
            errors.append((key, "must be a string"))
    return errors
