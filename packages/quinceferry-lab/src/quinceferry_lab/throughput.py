"""Measures requests and tokens a second through one router process, and what they cost it.

Starts the demo's fleet and loads the router of one availability zone over HTTP.
"""

import asyncio
import os
import tempfile
import time
from collections import Counter
from dataclasses import dataclass
from pathlib import Path

import httpx

from quinceferry_lab.child_processes import ChildProcess, ChildProcesses
from quinceferry_lab.demo_fleet import ZONES, DemoFleet
from quinceferry_lab.demo_operators import DemoWorkspace, OperatorShell

LOAD_SECONDS = 5.0
CONCURRENCIES = (4, 16, 48)
WHOLE_TOKENS = 4
STREAMED_TOKENS = 128
TOP_UP_TOKENS = 50_000_000
WAIT_SECONDS = 60.0

_ANSWERED = "answered"

_CPU_FIELDS = slice(13, 15)
"""User and system time in ``/proc/<pid>/stat``, in clock ticks."""


@dataclass(slots=True, frozen=True)
class Reading:
    """What one load came to; ``cores`` is the router's processor time by wall time."""

    kind: str
    concurrency: int
    requests: int
    refusals: str
    tokens: int
    seconds: float
    cores: float


def main() -> None:
    """Print one line for each load."""
    asyncio.run(_measure())


async def _measure() -> None:
    """Start the fleet, run the loads and end what was started."""
    with tempfile.TemporaryDirectory() as folder:
        children = ChildProcesses(Path(folder))
        try:
            await _run_loads(DemoFleet(children, Path(folder)))
        finally:
            await children.stop_all()


async def _run_loads(fleet: DemoFleet) -> None:
    """Run every load against one router."""
    await fleet.start()
    shell = OperatorShell(fleet)
    workspace = (await shell.set_up())[0]
    await shell.run("operator", "top-up", workspace.name, str(TOP_UP_TOKENS))
    router = fleet.routers_by_zone[ZONES[0]]
    for kind, tokens in (("whole", WHOLE_TOKENS), ("streamed", STREAMED_TOKENS)):
        for concurrency in CONCURRENCIES:
            reading = await _load(router, workspace, kind, tokens, concurrency)
            print(_line(reading), flush=True)


async def _load(
    router: ChildProcess, workspace: DemoWorkspace, kind: str, tokens: int, concurrency: int
) -> Reading:
    """Keep a number of requests in progress for some seconds."""
    limits = httpx.Limits(max_connections=concurrency)
    headers = {"authorization": f"Bearer {workspace.key}"}
    document = {
        "model": workspace.model,
        "messages": [{"role": "user", "content": "Which receipts lack a date?"}],
        "max_tokens": tokens,
        "stream": kind == "streamed",
        "stand_in_output_tokens": tokens,
    }
    ends: Counter[str] = Counter()
    started_at, cpu_before = time.monotonic(), _cpu_seconds(router)
    async with httpx.AsyncClient(
        base_url=router.url, headers=headers, limits=limits, timeout=WAIT_SECONDS
    ) as client:

        async def keep_asking() -> None:
            while time.monotonic() - started_at < LOAD_SECONDS:
                response = await client.post("/v1/chat/completions", json=document)
                ends[_end(response)] += 1

        await asyncio.gather(*(keep_asking() for _ in range(concurrency)))
    seconds = time.monotonic() - started_at
    cores = (_cpu_seconds(router) - cpu_before) / seconds
    done = ends.pop(_ANSWERED, 0)
    refusals = ", ".join(f"{reason} {count}" for reason, count in sorted(ends.items()))
    return Reading(kind, concurrency, done, refusals, done * tokens, seconds, cores)


def _end(response: httpx.Response) -> str:
    """Return the reason of a refusal, or the mark of an answer."""
    return _ANSWERED if response.is_success else response.json()["error"]["reason"]


def _cpu_seconds(process: ChildProcess) -> float:
    """Return the processor time a process has used."""
    stat = Path(f"/proc/{process.process.pid}/stat").read_text().rpartition(")")[2].split()
    ticks = sum(int(field) for field in stat[_CPU_FIELDS.start - 2 : _CPU_FIELDS.stop - 2])
    return ticks / os.sysconf("SC_CLK_TCK")


def _line(reading: Reading) -> str:
    """Return a reading as text."""
    per_request = reading.cores * reading.seconds / max(1, reading.requests)
    per_token = reading.cores * reading.seconds / max(1, reading.tokens)
    return (
        f"{reading.kind:8}  {reading.concurrency:3} at a time  "
        f"{reading.requests / reading.seconds:7.1f} requests/s  "
        f"{reading.tokens / reading.seconds:8.0f} tokens/s  refused: {reading.refusals or 'none'}  "
        f"{reading.cores:.2f} cores  {per_request * 1e3:.2f} ms/request  "
        f"{per_token * 1e6:.0f} µs/token"
    )


if __name__ == "__main__":
    main()
