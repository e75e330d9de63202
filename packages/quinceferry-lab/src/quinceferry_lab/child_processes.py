"""Child processes of the demo: started, watched and ended by their own process ids."""

import asyncio
import os
import signal
from dataclasses import dataclass, field
from pathlib import Path

START_TIMEOUT_SECONDS = 20.0
KILL_GRACE_SECONDS = 5.0
"""Time between asking a process to end and ending it."""
_KIBIBYTE = 1024


class ChildFailedError(RuntimeError):
    """A child process ended or did not announce itself in time."""


@dataclass(slots=True)
class ChildProcess:
    """One running child."""

    name: str
    process: asyncio.subprocess.Process
    log: Path
    url: str = ""

    @property
    def running(self) -> bool:
        """Return whether it has not ended."""
        return self.process.returncode is None

    def resident_bytes(self) -> int:
        """Return its resident memory; zero when it has ended."""
        try:
            fields = Path(f"/proc/{self.process.pid}/statm").read_text().split()
        except OSError:
            return 0
        return int(fields[1]) * os.sysconf("SC_PAGE_SIZE")

    def ask_to_stop(self) -> None:
        """Send SIGTERM, which asks for a graceful stop."""
        if self.running:
            self.process.send_signal(signal.SIGTERM)

    async def wait(self, timeout_seconds: float) -> int | None:
        """Wait for its end.

        :return: its exit status, or None when it still runs.
        """
        try:
            return await asyncio.wait_for(self.process.wait(), timeout_seconds)
        except TimeoutError:
            return None


@dataclass(slots=True)
class ChildProcesses:
    """All children of one demo.

    :param folder: where their logs go.
    """

    folder: Path
    children_by_name: dict[str, ChildProcess] = field(default_factory=dict)

    async def start(self, name: str, *command: str, announces: bool = False) -> ChildProcess:
        """Start a child.

        :param announces: whether its first line of output is its URL, which is waited for.
        :raises ChildFailedError: it announced none.
        """
        log = self.folder / f"{name}.log"
        with log.open("wb") as stream:
            process = await asyncio.create_subprocess_exec(
                *command,
                stdout=asyncio.subprocess.PIPE if announces else stream,
                stderr=stream,
                start_new_session=True,
            )
        child = ChildProcess(name, process, log)
        self.children_by_name[name] = child
        if announces:
            child.url = await _read_url(child)
        return child

    async def stop_all(self) -> None:
        """End every child that still runs, by its process id."""
        running = [child for child in self.children_by_name.values() if child.running]
        for child in running:
            child.ask_to_stop()
        await asyncio.gather(*(child.wait(KILL_GRACE_SECONDS) for child in running))
        for child in running:
            if child.running:
                child.process.kill()
                await child.process.wait()

    def log_tails(self) -> list[str]:
        """Return the last lines that each child logged."""
        tails = []
        for child in self.children_by_name.values():
            text = child.log.read_text(errors="replace")[-2 * _KIBIBYTE :].strip()
            if text:
                tails.append(f"--- {child.name}\n{text}")
        return tails


async def _read_url(child: ChildProcess) -> str:
    """Read the line by which a child announces itself."""
    try:
        line = await asyncio.wait_for(child.process.stdout.readline(), START_TIMEOUT_SECONDS)
    except TimeoutError:
        line = b""
    url = line.decode().strip()
    if not url.startswith("http"):
        raise ChildFailedError(f"{child.name} did not announce its address, see {child.log}")
    return url
