"""An entry of the list of upstreams from another writer, with a field of another type.

With TROUBLE=0 the entry is not written; all else, the final fault included, is the same.
"""

import asyncio
import json
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
import fleet_2 as fleet  # noqa: E402

GATEWAYS = 3
UPSTREAMS = 3
REQUESTS_PER_SECOND = 3.0  # At each gateway.
CALM_SECONDS = 6.0
ENTRY_SECONDS = 4.0
DOWN_SECONDS = 1.1
RECOVERY_SECONDS = 12.0  # The bound of the rule.
JUDGED_SECONDS = 15.0
SERVED_SHARE = 0.25  # Of the rule.
CALLER_SECONDS = 1.5
NESTED_LISTS = 2_000
CONFIGURATION = {
    "version": 1,
    "routes": [
        {
            "name": "app",
            "host": "demo.example",
            "prefix": "/app/",
            "kind": "safe",
            "timeout_ms": 800,
            "slo_ms": 300,
            "service": "app",
            "attempts": 2,
        }
    ],
    "services": [{"name": "app", "health_path": "/healthz", "max_conns": 110}],
    "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "idle_timeout_ms": 15000},
}


def foreign_entry() -> bytes:
    """Return an entry whose time is a list of lists instead of a number."""
    fields = {"service": "other", "addr": "127.0.0.1:9", "zone": "zone-a", "version": "v1"}
    text = json.dumps({**fields, "slots": 6, "state": "ready", "seq": 1})
    return f'{text[:-1]}, "cold_left_ms": {"[" * NESTED_LISTS}{"]" * NESTED_LISTS}}}'.encode()


async def send_for(seconds: float, gateways: list, outcomes: list) -> None:
    """Send requests to all gateways for a time, and wait for their answers."""
    calls, ends_at = [], time.time() + seconds

    async def send(gateway: fleet.Child, request_id: str) -> None:
        outcomes.append(await fleet.send(gateway, "/app/x", request_id, CALLER_SECONDS))

    while time.time() < ends_at:
        for gateway in gateways:
            request_id = f"r{len(outcomes) + len(calls)}-{gateway.name}"
            calls.append(asyncio.create_task(send(gateway, request_id)))
        await asyncio.sleep(1 / REQUESTS_PER_SECOND)
    await asyncio.gather(*calls)


def served_share(outcomes: list) -> float:
    """Return the share of requests that were answered with success."""
    return sum(item.status == 200 and item.whole for item in outcomes) / max(1, len(outcomes))


async def case(is_troubled: bool) -> bool:
    """Run the case; return whether RECOVER was broken."""
    before, meanwhile, after = [], [], []
    async with fleet.Fleet() as processes:
        await fleet.put_key(processes.store, "op/config", json.dumps(CONFIGURATION).encode())
        for number in range(UPSTREAMS):
            await processes.start_upstream(id=f"app-{number}", service="app")
        gateways = [await processes.start_gateway(f"vm-{number}") for number in range(GATEWAYS)]
        for gateway in gateways:
            await fleet.wait_until(lambda gateway=gateway: fleet.is_ready(gateway))
        await send_for(CALM_SECONDS, gateways, before)
        if is_troubled:
            await fleet.put_key(processes.store, "servers/i-other", foreign_entry())
        await send_for(ENTRY_SECONDS, gateways, before)
        # The final fault: all processes of the system are killed at once, and start again.
        for gateway in gateways:
            gateway.send(signal.SIGKILL)
            await gateway.process.wait()
        await asyncio.sleep(DOWN_SECONDS)
        again = [await processes.restart_gateway(gateway) for gateway in gateways]
        await send_for(RECOVERY_SECONDS, again, meanwhile)
        await send_for(JUDGED_SECONDS, again, after)
        is_broken = served_share(before) >= SERVED_SHARE > served_share(after)
        ready = [await fleet.answers_ready(gateway) for gateway in again]
        failures = [
            f"{item.name}: {line['event']} {line.get('task', '')} {line.get('error', '')}"
            for item in processes.children
            for line in item.lines()
            if line.get("event") == "task.failed"
        ]
        notes = [
            f"trouble: {is_troubled}",
            f"served before the final fault: {served_share(before):.2f} of {len(before)}",
            f"served later than {RECOVERY_SECONDS:g} s after the start: "
            f"{served_share(after):.2f} of {len(after)}",
            f"ready at the end: {ready}",
            f"RECOVER {'broken' if is_broken else 'held'}",
            *failures,
        ]
        fleet.write_record(FOLDER, before + meanwhile + after, processes.children, notes)
        print("\n".join(notes))
    return is_broken


if __name__ == "__main__":
    fleet.run_case(case)
