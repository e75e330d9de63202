"""Gateways as processes of their own: started, signalled, starved and ended by their process id."""

import asyncio
import contextlib
import os
import resource
import signal
import socket
import sys
import time
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path

from quinceferry_gateway import HttpClient
from quinceferry_gateway.exceptions import ConnectionBrokenError, NotSentError

READY_SECONDS = 30.0
CHECK_SECONDS = 0.05
CALL_TIMEOUT_SECONDS = 1.0
LISTENERS = ("callers", "readiness", "directory", "peers", "metrics")
_FIRST_PORT = 15_000
_LAST_PORT = 30_000
_PORTS_PER_PROCESS = 500


@dataclass(slots=True)
class StopRecord:
    """One planned stop of a process; times are on the monotonic clock, in seconds.

    ``exited_at`` is infinite until the process has ended. ``killed`` tells whether that took
    SIGKILL.
    """

    vm: str
    signalled_at: float
    exited_at: float = float("inf")
    killed: bool = False


@dataclass(slots=True)
class GatewayProcess:
    """One gateway process and its addresses.

    :param grace_seconds: time between SIGTERM and SIGKILL.
    """

    vm: str
    settings: Path
    grace_seconds: float
    ports_by_listener: dict[str, int] = field(default_factory=dict)
    process: asyncio.subprocess.Process | None = None

    @classmethod
    def create(
        cls, vm: str, zone: str, store_address: str, folder: Path, grace_seconds: float
    ) -> "GatewayProcess":
        """Write the settings file of a gateway with free ports."""
        gateway = cls(vm, folder / f"{vm}.toml", grace_seconds)
        gateway.ports_by_listener = {name: free_port() for name in LISTENERS}
        listen = "\n".join(f'{name} = "{gateway.address(name)}"' for name in LISTENERS)
        gateway.settings.write_text(
            f'[gateway]\nvm = "{vm}"\nzone = "{zone}"\nregion = "south"\n'
            f"[listen]\n{listen}\n"
            f'[store]\naddress = "{store_address}"\n'
            "[retries]\nratio = 0.2\nslack = 54\nwindow_seconds = 10\n"
            f"[stop]\ngrace_seconds = {grace_seconds}\n"
        )
        return gateway

    @property
    def log(self) -> Path:
        """Return the file with the log lines of all its processes."""
        return self.settings.with_suffix(".log")

    @property
    def running(self) -> bool:
        """Return whether its process has been started and has not ended."""
        return self.process is not None and self.process.returncode is None

    def address(self, listener: str) -> str:
        """Return one of its addresses."""
        return f"127.0.0.1:{self.ports_by_listener[listener]}"

    async def start(self, descriptors: int = 0) -> None:
        """Start the process.

        :param descriptors: how many descriptors it may have open, 0 for as many as this process.
        """
        with self.log.open("ab") as output:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "quinceferry_platform",
                "--config",
                str(self.settings),
                stdout=output,
            )
        # A function that runs between fork and exec could wait for a lock of another thread.
        if descriptors:
            limits = (descriptors, descriptors)
            resource.prlimit(self.process.pid, resource.RLIMIT_NOFILE, limits)

    async def is_ready(self, http: HttpClient) -> bool:
        """Return whether it accepts callers."""
        with contextlib.suppress(NotSentError, ConnectionBrokenError):
            reply = await http.fetch(
                self.address("readiness"),
                b"GET",
                b"/v1/readyz",
                [(b"host", b"readiness")],
                timeout_seconds=CALL_TIMEOUT_SECONDS,
            )
            return reply.status == 200
        return False

    async def wait_ready(self, http: HttpClient) -> None:
        """Wait until it accepts callers.

        :raises TimeoutError: it did not in time.
        """
        async with asyncio.timeout(READY_SECONDS):
            while True:
                if await self.is_ready(http):
                    return
                await asyncio.sleep(CHECK_SECONDS)

    def send(self, number: signal.Signals) -> None:
        """Send a signal if the process runs."""
        if self.running:
            with contextlib.suppress(ProcessLookupError):
                os.kill(self.process.pid, number)

    async def stall(self, seconds: float) -> None:
        """Give the process no processor time for a while."""
        self.send(signal.SIGSTOP)
        try:
            await asyncio.sleep(seconds)
        finally:
            self.send(signal.SIGCONT)

    async def stop(self, record: StopRecord) -> None:
        """Send SIGTERM, and SIGKILL after the grace time, as the platform does."""
        record.signalled_at = time.monotonic()
        self.send(signal.SIGTERM)
        try:
            await asyncio.wait_for(self.process.wait(), self.grace_seconds)
        except TimeoutError:
            record.killed = True
            await self.kill()
        record.exited_at = time.monotonic()

    async def kill(self) -> None:
        """Send SIGKILL if the process runs, and wait for its end."""
        self.send(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()


def create_gateways(
    stack: contextlib.AsyncExitStack,
    count: int,
    zones: int,
    store_address: str,
    folder: Path,
    grace_seconds: float,
) -> list[GatewayProcess]:
    """Write the settings files of gateways, whose processes are killed when the stack is left.

    :param zones: number of availability zones over which they are spread.
    """
    gateways = [
        GatewayProcess.create(
            f"vm-{number}", f"zone-{number % zones}", store_address, folder, grace_seconds
        )
        for number in range(count)
    ]
    for gateway in gateways:
        stack.push_async_callback(gateway.kill)
    return gateways


def free_port() -> int:
    """Return a port on which nobody listens, another one each time.

    The ports lie below those that the system gives to outgoing connections, and those of processes
    with successive identifiers lie apart.
    """
    for port in _ports:
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind(("127.0.0.1", port))
            return port
    raise OSError("no free port")


def _own_ports() -> Iterator[int]:
    """Yield the ports of this process, and then all others."""
    blocks = (_LAST_PORT - _FIRST_PORT) // _PORTS_PER_PROCESS
    first = os.getpid() % blocks * _PORTS_PER_PROCESS
    for offset in range(_LAST_PORT - _FIRST_PORT):
        yield _FIRST_PORT + (first + offset) % (_LAST_PORT - _FIRST_PORT)


_ports = _own_ports()
