"""Operators who set up a fleet, grant tokens and change the configuration while faults occur."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from random import Random
from typing import TypeVar

from returns.result import Success

from quinceferry_core import operator_messages as messages
from quinceferry_core.configuration import ChangeState, ChangeStatus
from quinceferry_core.exceptions import QuinceferryError
from quinceferry_core.models import OperationId, UpstreamId, VmId, WorkspaceId
from quinceferry_lab.connections import ConnectionBrokenError, NotConnectedError
from quinceferry_lab.fleets import MODEL, SERVICE, WORKSPACES, Fleet
from quinceferry_lab.histories import Accepted, Removal, TopUp
from quinceferry_lab.processes import RouterProcess
from quinceferryd.blackboard import RouterState
from quinceferryd.operator_changes import change_builder, message_fingerprint
from quinceferryd.operators import OperatorService

T = TypeVar("T")

CALL_TIMEOUT_SECONDS = 8.0
RETRY_SECONDS = 1.0
GIVE_UP_SECONDS = 120.0
BYTES_PER_TOKEN = 4.0
PRIORITIES = ("high", "normal", "low")


@dataclass(slots=True, frozen=True)
class BudgetPlan:
    """Tokens of one workspace: granted at first, and by each top-up."""

    initial: int
    top_up: int
    mean_seconds: float


PLANS_BY_WORKSPACE = {
    WORKSPACES[0]: BudgetPlan(3_000, 700, 10.0),
    WORKSPACES[1]: BudgetPlan(40_000, 3_000, 30.0),
}


class Operator:
    """One operator, who repeats each call with the same operation id until it is answered."""

    def __init__(self, name: str, fleet: Fleet, rng: Random) -> None:
        self._name = name
        self._fleet = fleet
        self._clock = fleet.clock
        self._rng = rng
        self._operations = 0

    async def set_up(self) -> None:
        """Make the first configuration and grant the first tokens."""
        for message in self._first_messages():
            await self._propose(message)
        await self._await_acceptance()
        for workspace, plan in PLANS_BY_WORKSPACE.items():
            await self.top_up(workspace, plan.initial)

    async def top_up_forever(self, workspace: WorkspaceId) -> None:
        """Grant tokens again and again."""
        plan = PLANS_BY_WORKSPACE[workspace]
        while True:
            await self._clock.sleep(self._rng.expovariate(1.0 / plan.mean_seconds))
            await self.top_up(workspace, plan.top_up)

    async def change_forever(self, mean_seconds: float) -> None:
        """Change the configuration again and again."""
        while True:
            await self._clock.sleep(self._rng.expovariate(1.0 / mean_seconds))
            await self._propose(self._next_message())
            await self._await_acceptance()

    async def remove_forever(self, upstream: UpstreamId, mean_seconds: float) -> None:
        """Take an upstream out of the configuration and put it back, again and again."""
        while True:
            await self._clock.sleep(self._rng.expovariate(1.0 / mean_seconds))
            operation = self._next_operation()
            message = messages.RemoveUpstream(
                operation_id=operation, expected_revision=0, upstream=upstream
            )
            await self._propose(message)
            removal = None
            if await self._await_acceptance():
                removal = Removal(upstream, self._clock.monotonic())
                self._fleet.history.removals.append(removal)
            await self._clock.sleep(self._rng.expovariate(1.0 / mean_seconds))
            if removal is not None:
                removal.restored_at = self._clock.monotonic()
            await self._propose(self._register(upstream))
            await self._await_acceptance()

    async def top_up(self, workspace: WorkspaceId, tokens: int, vms: tuple[VmId, ...] = ()) -> None:
        """Grant tokens.

        :param vms: routers to use; empty for any.
        """
        operation = self._next_operation()
        grant = TopUp(workspace, tokens, self._clock.monotonic())
        self._fleet.history.top_ups.append(grant)

        async def work(process: RouterProcess) -> bool:
            budgets = process.application.budgets
            return isinstance(await budgets.top_up(workspace, tokens, operation), Success)

        if await self._repeat(work, vms):
            grant.acknowledged_at = self._clock.monotonic()

    async def drain(self, process: RouterProcess) -> None:
        """Order a router to stop gracefully."""
        operation = self._next_operation()
        incarnation = process.application.blackboard.identity.incarnation

        async def work(other: RouterProcess) -> bool:
            return isinstance(await _service(other).drain(incarnation, operation), Success)

        await self._repeat(work, operation=f"stop of {process.label}")

    async def _propose(self, message: messages.Change) -> None:
        """Enter a change; a conflict with another operator ends it."""

        async def work(process: RouterProcess) -> bool:
            changed = await _service(process).propose(
                change_builder(message),
                process.application.blackboard.configuration.revision,
                OperationId(message.operation_id),
                message_fingerprint(message),
            )
            if isinstance(changed, Success):
                self._note_accepted(changed.unwrap())
            else:
                self._fleet.note(f"{message.operation_id}: {changed.failure()}")
            return True

        await self._repeat(work, operation=message.operation_id)

    async def _await_acceptance(self) -> bool:
        """Ask for the last change until it is accepted; return whether it was."""
        operation = OperationId(f"{self._name}-{self._operations}")
        was_made = {operation}

        async def work(process: RouterProcess) -> bool:
            status = await _service(process).status_of_operation(operation)
            if status is None:
                was_made.clear()
                return True
            self._note_accepted(status)
            return status.state is ChangeState.ACCEPTED

        return await self._repeat(work) and bool(was_made)

    def _note_accepted(self, status: ChangeStatus) -> None:
        """Record that a revision is in force."""
        if status.state is ChangeState.ACCEPTED:
            accepted = Accepted(status.revision, self._clock.monotonic())
            self._fleet.history.accepted.append(accepted)

    async def _repeat(
        self,
        work: Callable[[RouterProcess], Awaitable[bool]],
        vms: tuple[VmId, ...] = (),
        operation: str = "",
    ) -> bool:
        """Ask one router after another until one has done the work."""
        give_up_at = self._clock.monotonic() + GIVE_UP_SECONDS
        while self._clock.monotonic() < give_up_at:
            process = self._choose(vms)
            if process is not None and await self._try(process, work):
                return True
            await self._clock.sleep(RETRY_SECONDS * self._rng.uniform(0.5, 1.5))
        if operation:
            self._fleet.note(f"{operation} was given up")
        return False

    async def _try(
        self, process: RouterProcess, work: Callable[[RouterProcess], Awaitable[bool]]
    ) -> bool:
        """Ask one router."""

        async def guarded() -> bool:
            if process.application.blackboard.state is RouterState.STARTING:
                return False
            try:
                return await work(process)
            except QuinceferryError:
                return False

        try:
            return await self._fleet.network.call(
                self._name, process.address, guarded, CALL_TIMEOUT_SECONDS
            )
        except (NotConnectedError, ConnectionBrokenError, TimeoutError):
            return False

    def _choose(self, vms: tuple[VmId, ...]) -> RouterProcess | None:
        """Choose a router."""
        processes = self._fleet.processes_by_vm
        found = [processes[vm] for vm in vms or processes if processes[vm].listening]
        return self._rng.choice(found) if found else None

    def _next_operation(self) -> OperationId:
        """Return a new operation id."""
        self._operations += 1
        return OperationId(f"{self._name}-{self._operations}")

    def _first_messages(self) -> list[messages.Change]:
        """Return the changes of the set-up."""
        changes: list[messages.Change] = [
            messages.RegisterModel(
                operation_id=self._next_operation(),
                expected_revision=0,
                name=str(MODEL),
                min_bytes_per_token=BYTES_PER_TOKEN,
            )
        ]
        changes += [self._register(upstream) for upstream in self._fleet.upstreams_by_id]
        changes += [
            messages.CreateWorkspace(
                operation_id=self._next_operation(),
                expected_revision=0,
                workspace=workspace,
                key_hash=f"{number:064x}",
                models=[str(MODEL)],
                services=[SERVICE],
            )
            for number, workspace in enumerate(WORKSPACES)
        ]
        return changes

    def _register(self, upstream: UpstreamId) -> messages.RegisterUpstream:
        """Return the registration of an upstream."""
        engine = self._fleet.engines_by_id.get(upstream)
        return messages.RegisterUpstream(
            operation_id=self._next_operation(),
            expected_revision=0,
            upstream=upstream,
            address=f"http://{upstream}:80",
            zone=self._fleet.zone_of_upstream(upstream),
            checks_fencing=engine is not None and engine.settings.checks_fencing,
            kind="service" if engine is None else "engine",
            service=SERVICE if engine is None else "",
        )

    def _next_message(self) -> messages.Change:
        """Draw a change."""
        return messages.UpdateWorkspace(
            operation_id=self._next_operation(),
            expected_revision=0,
            workspace=self._rng.choice(WORKSPACES),
            priority=self._rng.choice(PRIORITIES),
        )


def _service(process: RouterProcess) -> OperatorService:
    """Return the operators' interface of a router."""
    return process.application.operators
