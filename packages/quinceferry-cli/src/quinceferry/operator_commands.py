"""Commands for operators, which call the operator API."""

from typing import Any

import click

from quinceferry.configuration import ClientConfiguration
from quinceferry.drains import follow_drain
from quinceferry.operator_calls import (
    change_options,
    choose_workspace_key,
    given_options,
    hash_key,
    limit_options,
    run_call,
    run_change,
    run_message,
)
from quinceferry.operators import OperatorClient
from quinceferry_core import operator_messages as messages


@click.group()
def operator() -> None:
    """Change and inspect the fleet."""


@operator.command("create-workspace")
@click.argument("workspace")
@click.option("--model", "models", multiple=True, help="model[:adapter][@version]; repeatable.")
@click.option("--service", "services", multiple=True, help="Plain service; repeatable.")
@click.option("--priority", type=click.Choice(["high", "normal", "low"]), default="normal")
@click.option("--key", help="Workspace key to use; a new one if absent.")
@limit_options
@change_options
@click.pass_obj
def create_workspace(
    configuration: ClientConfiguration,
    workspace: str,
    models: tuple[str, ...],
    services: tuple[str, ...],
    priority: str,
    key: str | None,
    **options: Any,
) -> None:
    """Create a workspace and print its key, which is shown only here."""
    key = choose_workspace_key(key, options)
    fields = {
        "workspace": workspace,
        "key_hash": hash_key(key),
        "models": list(models),
        "services": list(services),
        "priority": priority,
    }
    run_change(configuration, messages.CreateWorkspace, fields, options, key=key)


@operator.command("update-workspace")
@click.argument("workspace")
@click.option("--model", "models", multiple=True, help="All models to attach; repeatable.")
@click.option("--service", "services", multiple=True, help="All services to attach; repeatable.")
@click.option("--priority", type=click.Choice(["high", "normal", "low"]))
@limit_options
@change_options
@click.pass_obj
def update_workspace(
    configuration: ClientConfiguration,
    workspace: str,
    models: tuple[str, ...],
    services: tuple[str, ...],
    priority: str | None,
    **options: Any,
) -> None:
    """Change what a workspace may use; options that are not given keep their value."""
    fields = {
        "workspace": workspace,
        "models": list(models) or None,
        "services": list(services) or None,
        "priority": priority,
    }
    run_change(configuration, messages.UpdateWorkspace, fields, options)


@operator.command("rotate-key")
@click.argument("workspace")
@click.option("--key", help="New key; a random one if absent.")
@click.option("--keep-previous", is_flag=True, help="Keep the newest previous key valid.")
@change_options
@click.pass_obj
def rotate_key(
    configuration: ClientConfiguration,
    workspace: str,
    key: str | None,
    keep_previous: bool,
    **options: Any,
) -> None:
    """Replace the key of a workspace and print the new key."""
    key = choose_workspace_key(key, options)
    fields = {
        "workspace": workspace,
        "key_hash": hash_key(key),
        "keep_previous": keep_previous,
    }
    run_change(configuration, messages.RotateWorkspaceKey, fields, options, key=key)


@operator.command("register-model")
@click.argument("name")
@click.option("--min-bytes-per-token", type=float, default=1.0)
@click.option("--default-output-tokens", type=int, default=256)
@click.option("--max-output-tokens", type=int, default=4096)
@change_options
@click.pass_obj
def register_model(
    configuration: ClientConfiguration,
    name: str,
    min_bytes_per_token: float,
    default_output_tokens: int,
    max_output_tokens: int,
    **options: Any,
) -> None:
    """Add a model or replace its specification."""
    fields = {
        "name": name,
        "min_bytes_per_token": min_bytes_per_token,
        "default_output_tokens": default_output_tokens,
        "max_output_tokens": max_output_tokens,
    }
    run_change(configuration, messages.RegisterModel, fields, options)


@operator.command("register-upstream")
@click.argument("upstream")
@click.argument("url")
@click.option("--zone", "upstream_zone", required=True, help="Availability zone of the upstream.")
@click.option(
    "--checks-fencing/--ignores-fencing",
    default=None,
    help="Whether it rejects orders with an old fencing number; one of the two is required.",
)
@click.option("--service", default="", help="Name of a plain service; a model engine if absent.")
@click.option("--vm", default="", help="VM that it runs on, as in the platform's VM list.")
@click.option("--role", default="", help="Role that a model engine is ordered to take.")
@change_options
@click.pass_obj
def register_upstream(
    configuration: ClientConfiguration,
    upstream: str,
    url: str,
    upstream_zone: str,
    checks_fencing: bool | None,
    service: str,
    vm: str,
    role: str,
    **options: Any,
) -> None:
    """Add an upstream or replace its specification."""
    if checks_fencing is None:
        raise click.UsageError("--checks-fencing or --ignores-fencing is required")
    fields = {
        "upstream": upstream,
        "address": url.rstrip("/"),
        "zone": upstream_zone,
        "checks_fencing": checks_fencing,
        "kind": "service" if service else "engine",
        "service": service,
        "vm": vm,
        "role": role,
    }
    run_change(configuration, messages.RegisterUpstream, fields, options)


@operator.command("remove-upstream")
@click.argument("upstream")
@change_options
@click.pass_obj
def remove_upstream(configuration: ClientConfiguration, upstream: str, **options: Any) -> None:
    """Remove an upstream."""
    run_change(configuration, messages.RemoveUpstream, {"upstream": upstream}, options)


@operator.command("top-up")
@click.argument("workspace")
@click.argument("tokens", type=click.IntRange(min=1))
@click.option("--operation-id", help="Repeat an earlier top-up; new if absent.")
@click.option("--expected-revision", type=int, help="Revision the router must have applied.")
@click.pass_obj
def top_up(configuration: ClientConfiguration, workspace: str, tokens: int, **options: Any) -> None:
    """Add prepaid tokens to a workspace."""
    fields = {"workspace": workspace, "tokens": tokens}
    run_change(configuration, messages.TopUp, fields, {**options, "wait": False})


@operator.command("balance")
@click.argument("workspace")
@click.pass_obj
def balance(configuration: ClientConfiguration, workspace: str) -> None:
    """Show the budget of a workspace."""
    run_message(configuration, messages.GetBalance(workspace=workspace))


@operator.command("bills")
@click.argument("workspace")
@click.option("--cursor", default="", help="Cursor from the previous page.")
@click.pass_obj
def bills(configuration: ClientConfiguration, workspace: str, cursor: str) -> None:
    """Show one page of the bills of a workspace."""
    run_message(configuration, messages.ListBills(workspace=workspace, cursor=cursor))


@operator.command("declare-gone")
@click.argument("router")
@click.option("--operation-id", help="Repeat an earlier declaration; new if absent.")
@click.option("--expected-revision", type=int, help="Revision the router must have applied.")
@click.confirmation_option(prompt="Has the process certainly terminated? Its tokens will be freed")
@click.pass_obj
def declare_gone(configuration: ClientConfiguration, router: str, **options: Any) -> None:
    """Declare that the process of ROUTER, given by its incarnation, has terminated."""
    fields = {"router": router}
    run_change(configuration, messages.DeclareGone, fields, {**options, "wait": False})


@operator.command("change")
@click.argument("operation_id")
@click.pass_obj
def change(configuration: ClientConfiguration, operation_id: str) -> None:
    """Show whether a change is applied everywhere, and which routers are awaited."""
    run_message(configuration, messages.GetChange(operation_id=operation_id))


@operator.command("routers")
@click.pass_obj
def routers(configuration: ClientConfiguration) -> None:
    """List the routers of the fleet."""
    run_message(configuration, messages.ListRouters())


@click.command("status")
@click.pass_obj
def status(configuration: ClientConfiguration) -> None:
    """Show the state of the answering router."""
    run_message(configuration, messages.GetStatus())


@click.command("drain")
@click.argument("router")
@click.option("--wait/--no-wait", default=False, help="Show progress until the router has left.")
@click.option("--timeout-seconds", type=float, default=600.0, help="Maximum wait.")
@click.option("--operation-id", help="Repeat an earlier drain; new if absent.")
@click.option("--expected-revision", type=int, help="Revision the router must have applied.")
@click.pass_obj
def drain(
    configuration: ClientConfiguration,
    router: str,
    wait: bool,
    timeout_seconds: float,
    **options: Any,
) -> None:
    """Stop ROUTER, given by its incarnation or VM, gracefully."""

    def show(line: str) -> None:
        click.echo(line, err=True)

    async def drain_router(client: OperatorClient) -> Any:
        wait_seconds = timeout_seconds if wait else 0.0
        return await follow_drain(client, router, given_options(options), show, wait_seconds)

    run_call(configuration, drain_router)


operator.add_command(status)
operator.add_command(drain)
