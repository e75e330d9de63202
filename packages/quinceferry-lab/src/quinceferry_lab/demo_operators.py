"""What an operator does in the demo, with the command line itself."""

import asyncio
import os
import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec

from quinceferry_lab.child_processes import ChildFailedError
from quinceferry_lab.demo_fleet import MODELS, SERVICE, DemoFleet

COMMAND_TIMEOUT_SECONDS = 40.0


@dataclass(slots=True, frozen=True)
class DemoWorkspace:
    """A workspace of the demo."""

    name: str
    model: str
    granted: int
    key: str


@dataclass(slots=True, frozen=True)
class WorkspacePlan:
    """A workspace to create."""

    name: str
    model: str
    tokens: int
    priority: str


PLANS = (
    WorkspacePlan("harbour-choir", MODELS[0], 6_000_000, "normal"),
    WorkspacePlan("northline-haulage", MODELS[1], 6_000_000, "high"),
    WorkspacePlan("trial-club", MODELS[0], 3_000, "low"),
)
"""Two customers, and one whose small budget is to be spent to its end."""


class OperatorShell:
    """Runs the command line as an operator does.

    :param fleet: the running fleet.
    """

    def __init__(self, fleet: DemoFleet) -> None:
        self._fleet = fleet
        self._command = str(Path(sys.executable).with_name("quinceferry"))

    async def run(self, *arguments: str) -> Any:
        """Run one command and return the JSON it prints.

        :raises ChildFailedError: it failed.
        """
        environment = {
            **os.environ,
            "QUINCEFERRY_ROUTERS": " ".join(self._fleet.router_urls),
            "QUINCEFERRY_OPERATOR_KEY": self._fleet.operator_key,
        }
        process = await asyncio.create_subprocess_exec(
            self._command,
            *arguments,
            env=environment,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
        )
        try:
            output, errors = await asyncio.wait_for(process.communicate(), COMMAND_TIMEOUT_SECONDS)
        except BaseException:
            process.kill()
            await process.wait()
            raise
        if process.returncode:
            detail = errors.decode(errors="replace").strip()
            raise ChildFailedError(f"quinceferry {' '.join(arguments)}: {detail}")
        return msgspec.json.decode(output)

    async def set_up(self) -> list[DemoWorkspace]:
        """Register models and upstreams, and create the workspaces with their budgets."""
        for model in MODELS:
            await self.run("operator", "register-model", model, "--min-bytes-per-token", "4")
        await self._register_upstreams()
        return [await self._create_workspace(plan) for plan in PLANS]

    async def _register_upstreams(self) -> None:
        """Register every upstream with what it does about fencing numbers."""
        for index, (name, engine) in enumerate(self._fleet.engines_by_name.items()):
            fencing = "--checks-fencing" if index == 0 else "--ignores-fencing"
            zone = name.removeprefix("engine-")
            command = ("register-upstream", name, engine.url, "--zone", zone, fencing)
            await self.run("operator", *command)
        for name, service in self._fleet.services_by_name.items():
            options = ("--zone", "zone-a", "--ignores-fencing", "--service", SERVICE)
            await self.run("operator", "register-upstream", name, service.url, *options)

    async def _create_workspace(self, plan: WorkspacePlan) -> DemoWorkspace:
        """Create a workspace and top it up; the top-up is sent twice on purpose."""
        options = ("--model", plan.model, "--service", SERVICE, "--priority", plan.priority)
        created = await self.run("operator", "create-workspace", plan.name, *options)
        operation = ("--operation-id", f"first-{plan.name}")
        top_up = ("operator", "top-up", plan.name, str(plan.tokens), *operation)
        await self.run(*top_up)
        balance = await self.run(*top_up)
        if balance["granted"] != plan.tokens:
            raise ChildFailedError(f"a repeated top-up granted {balance['granted']} tokens")
        return DemoWorkspace(plan.name, plan.model, plan.tokens, created["key"])
