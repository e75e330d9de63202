"""Real daemons among stand-ins, each a process of its own, whose processor time is read."""

import asyncio
import secrets
import socket
import sys
import tempfile
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path

from quinceferry import OperatorClient, RequestError
from quinceferry_core.operator_messages import (
    CreateWorkspace,
    GetStatus,
    RegisterModel,
    RegisterUpstream,
    TopUp,
)
from quinceferry_lab.capacity_processes import cpu_seconds
from quinceferry_lab.child_processes import ChildFailedError, ChildProcess, ChildProcesses
from quinceferryd.keys import key_digest

HOST = "127.0.0.1"
MODEL = "ledger"
COARSE_MODEL = "ledger-coarse"
SLOW_MODEL = "ledger-slow"
COARSE_TOKENS_PER_STEP = 8
WORKSPACE = "choir"
KEY = "key-of-choir"
ZONE = "zone-a"
GRANT_TOKENS = 1_000_000_000
READY_TIMEOUT_SECONDS = 40.0
SETTLE_SECONDS = 2.5
IDLE_SECONDS = 4.0
_ENGINES = {
    MODEL: ("--step-seconds", "0.01"),
    COARSE_MODEL: ("--step-seconds", "0.01", "--tokens-per-step", str(COARSE_TOKENS_PER_STEP)),
    SLOW_MODEL: ("--step-seconds", "2.0", "--slots", "600"),
}
_UNLIMITED = ("--latency-ms", "0", "--writes-per-second", "100000", "--reads-per-second", "100000")
_SETTINGS = """\
[router]
vm = "{vm}"
zone = "zone-a"
host = "127.0.0.1"
port = {port}
fleet_secret = "{secret}"
operator_key = "{key}"

[platform]
kv_url = "{platform}"
vm_list_url = "{platform}"
"""


@dataclass(slots=True)
class Daemons:
    """Two routers, a platform and one engine for each model."""

    children: ChildProcesses
    secret: str = field(default_factory=lambda: secrets.token_hex(16))
    operator_key: str = field(default_factory=lambda: secrets.token_hex(16))
    platform: ChildProcess | None = None
    engines_by_model: dict[str, ChildProcess] = field(default_factory=dict)
    routers: list[ChildProcess] = field(default_factory=list)
    idle_by_router: dict[str, float] = field(default_factory=dict)

    async def start(self) -> None:
        """Start everything and configure one workspace."""
        vms = ("--vm", f"vm-0={ZONE}", "--vm", f"vm-1={ZONE}")
        self.platform = await self._stand_in("platform", "platform_server", *_UNLIMITED, *vms)
        for model, options in _ENGINES.items():
            command = ("engine_server", "--id", f"engine-{model}", "--models", model, *options)
            self.engines_by_model[model] = await self._stand_in(f"engine-{model}", *command)
        for number in range(2):
            await self._start_router(f"vm-{number}")
        await self._configure()

    def operators(self) -> OperatorClient:
        """Return a client that calls the first router."""
        return OperatorClient([self.routers[0].url], self.operator_key)

    async def rest(self) -> None:
        """Read what each router uses while nothing happens."""
        await asyncio.sleep(SETTLE_SECONDS)
        began = {router.name: cpu_seconds(router.process.pid) for router in self.routers}
        await asyncio.sleep(IDLE_SECONDS)
        for router in self.routers:
            used = cpu_seconds(router.process.pid) - began[router.name]
            self.idle_by_router[router.name] = used / IDLE_SECONDS

    def meter(self, router: ChildProcess) -> "Meter":
        """Return a meter of one router's processor time beyond its idle use."""
        return Meter(router.process.pid, self.idle_by_router.get(router.name, 0.0))

    async def _configure(self) -> None:
        """Register models and engines, and create a workspace with tokens."""
        async with self.operators() as client:
            for model in _ENGINES:
                await client.change(RegisterModel, name=model, min_bytes_per_token=4.0)
            for model, engine in self.engines_by_model.items():
                await register_engine(client, f"engine-{model}", engine.url)
            await client.change(
                CreateWorkspace,
                workspace=WORKSPACE,
                key_hash=key_digest(KEY),
                models=list(_ENGINES),
            )
            await client.change(TopUp, workspace=WORKSPACE, tokens=GRANT_TOKENS)
        await asyncio.sleep(SETTLE_SECONDS)

    async def _stand_in(self, name: str, module: str, *options: str) -> ChildProcess:
        """Start a stand-in and wait for its address."""
        command = (sys.executable, "-m", f"quinceferry_standins.{module}", *options)
        return await self.children.start(name, *command, announces=True)

    async def _start_router(self, vm: str) -> None:
        """Start a router and wait until it serves."""
        port = _free_port()
        path = self.children.folder / f"{vm}.toml"
        path.write_text(
            _SETTINGS.format(
                vm=vm,
                port=port,
                secret=self.secret,
                key=self.operator_key,
                platform=self.platform.url,
            )
        )
        daemon = str(Path(sys.executable).with_name("quinceferryd"))
        router = await self.children.start(vm, daemon, "--config", str(path))
        router.url = f"http://{HOST}:{port}"
        self.routers.append(router)
        await self._wait_serving(router)

    async def _wait_serving(self, router: ChildProcess) -> None:
        """Wait until a router takes requests."""
        deadline = time.monotonic() + READY_TIMEOUT_SECONDS
        async with OperatorClient([router.url], self.operator_key) as client:
            while time.monotonic() < deadline:
                try:
                    if (await client.call(GetStatus())).state == "serving":
                        return
                except RequestError:
                    pass
                await asyncio.sleep(0.1)
        raise ChildFailedError(f"{router.name} does not serve")


class Meter:
    """Processor time of one process since the meter was made.

    :param idle: seconds a second that the process uses anyway, and that are not counted.
    """

    def __init__(self, pid: int, idle: float = 0.0) -> None:
        self._pid = pid
        self._idle = idle
        self._began_at = time.monotonic()
        self._began = cpu_seconds(pid)

    def seconds(self) -> float:
        """Return the processor time used so far."""
        elapsed = time.monotonic() - self._began_at
        return cpu_seconds(self._pid) - self._began - self._idle * elapsed


async def register_engine(client: OperatorClient, name: str, url: str) -> None:
    """Register an engine under a name; several names may share one process."""
    await client.change(
        RegisterUpstream, upstream=name, address=url, zone=ZONE, checks_fencing=False
    )


@asynccontextmanager
async def running() -> AsyncIterator[Daemons]:
    """Run all processes, and end them by their process ids."""
    with tempfile.TemporaryDirectory() as folder:
        children = ChildProcesses(Path(folder))
        daemons = Daemons(children)
        try:
            await daemons.start()
            yield daemons
        finally:
            await children.stop_all()


def _free_port() -> int:
    """Return a port that is free now."""
    with socket.create_server((HOST, 0)) as listener:
        return listener.getsockname()[1]
