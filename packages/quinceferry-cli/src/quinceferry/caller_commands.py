"""Commands for callers."""

import asyncio
import sys
from typing import Any

import click
import msgspec

from quinceferry.client import Client
from quinceferry.configuration import ClientConfiguration


@click.command("address")
@click.pass_obj
def address(configuration: ClientConfiguration) -> None:
    """Show the addresses to use, how long they are valid, and the ticket to send."""

    async def fetch_and_print() -> None:
        async with _client(configuration) as client:
            answer = await client.addresses()
        click.echo(msgspec.json.format(msgspec.json.encode(answer), indent=2).decode())

    asyncio.run(fetch_and_print())


@click.command("ask")
@click.argument("model")
@click.argument("prompt", default="-")
@click.option("--max-tokens", type=int, help="Maximum number of output tokens.")
@click.option("--chat/--completion", default=True, help="Format of the request.")
@click.option("--stream/--whole", default=True, help="Print the answer as it arrives.")
@click.option("--priority", type=click.Choice(["high", "normal", "low"]), default=None)
@click.option("--non-idempotent", is_flag=True, help="Never run the request twice.")
@click.option("--request-id", default="", help="Identifier of the request; a new one if absent.")
@click.pass_obj
def ask(
    configuration: ClientConfiguration,
    model: str,
    prompt: str,
    stream: bool,
    non_idempotent: bool,
    priority: str | None,
    **options: Any,
) -> None:
    """Send PROMPT to MODEL; it is read from standard input when absent or ``-``."""
    text = sys.stdin.read() if prompt == "-" else prompt
    options.update(idempotent=not non_idempotent, priority=priority or "")
    asyncio.run(_ask(configuration, model, text, stream, options))


async def _ask(
    configuration: ClientConfiguration,
    model: str,
    prompt: str,
    stream: bool,
    options: dict[str, Any],
) -> None:
    """Print the answer, as it arrives or once it is complete."""
    async with _client(configuration) as client:
        if stream:
            async for piece in client.stream(model, prompt, **options):
                click.echo(piece.text, nl=False)
        else:
            answer = await client.ask(model, prompt, **options)
            click.echo(answer.text, nl=False)
    click.echo()


def _client(configuration: ClientConfiguration) -> Client:
    """Return a client of the configured workspace."""
    routers = configuration.require_routers()
    return Client(routers, configuration.require_workspace_key(), zone=configuration.zone)
