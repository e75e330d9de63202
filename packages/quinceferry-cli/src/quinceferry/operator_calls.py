"""Options and calls shared by the operator commands."""

import asyncio
import hashlib
import secrets
from collections.abc import Awaitable, Callable
from typing import Any

import click
import msgspec

from quinceferry.configuration import ClientConfiguration
from quinceferry.operators import OperatorClient
from quinceferry_core import operator_messages as messages

WORKSPACE_KEY_PREFIX = "qf-"
"""Prefix by which a leaked key is easy to recognise."""
KEY_BYTES = 32
ACCEPT_TIMEOUT_SECONDS = 30.0

OperatorCall = Callable[[OperatorClient], Awaitable[Any]]


def change_options(command: Callable[..., None]) -> Callable[..., None]:
    """Add the options of every change."""
    command = click.option(
        "--wait/--no-wait", default=True, help="Wait until every router has applied the change."
    )(command)
    command = click.option(
        "--expected-revision", type=int, help="Revision to change; the current one if absent."
    )(command)
    return click.option("--operation-id", help="Repeat an earlier change; new if absent.")(command)


def limit_options(command: Callable[..., None]) -> Callable[..., None]:
    """Add the options for a workspace's limits."""
    for name, kind in (
        ("--requests-per-second", float),
        ("--tokens-per-second", float),
        ("--concurrent-streams", int),
    ):
        command = click.option(
            name, type=kind, help="Limit over the whole fleet; 0 for unlimited."
        )(command)
    return command


def choose_workspace_key(key: str | None, options: dict[str, Any]) -> str:
    """Return the given workspace key, or a new random one.

    :raises click.UsageError: a repeated change lacks the key, which must be the same.
    """
    if key:
        return key
    if options["operation_id"]:
        raise click.UsageError("--key is required: a repeated change must have the same key")
    return WORKSPACE_KEY_PREFIX + secrets.token_urlsafe(KEY_BYTES)


def hash_key(key: str) -> str:
    """Return the digest by which the fleet identifies a workspace key."""
    return hashlib.sha256(key.encode()).hexdigest()


def run_change(
    configuration: ClientConfiguration,
    kind: type[messages.Change],
    fields: dict[str, Any],
    options: dict[str, Any],
    key: str = "",
) -> None:
    """Make a change, wait until it is applied everywhere if requested, and print its state."""
    wait = options.pop("wait")
    given = given_options(options)

    async def make_change(client: OperatorClient) -> Any:
        reply = await client.change(kind, **fields, **given)
        if wait:
            reply = await client.wait_accepted(reply, ACCEPT_TIMEOUT_SECONDS)
        return {**msgspec.to_builtins(reply), "key": key} if key else reply

    if key:
        click.echo(f"workspace key: {key}", err=True)
    run_call(configuration, make_change)


def run_message(configuration: ClientConfiguration, message: messages.Message) -> None:
    """Make one call and print its reply."""
    run_call(configuration, lambda client: client.call(message))


def run_call(configuration: ClientConfiguration, call: OperatorCall) -> None:
    """Make calls with a new client and print the result as JSON."""

    async def run_with_client() -> Any:
        routers = configuration.require_routers()
        async with OperatorClient(routers, configuration.require_operator_key()) as client:
            return await call(client)

    reply = asyncio.run(run_with_client())
    click.echo(msgspec.json.format(msgspec.json.encode(reply), indent=2).decode())


def given_options(options: dict[str, Any]) -> dict[str, Any]:
    """Return the options that were given on the command line."""
    return {name: value for name, value in options.items() if value is not None}
