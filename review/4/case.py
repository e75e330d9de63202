"""One part of a prompt ends each upstream that begins to answer on it; no two requests are alike.

With TROUBLE=0 the upstreams bear that part.
"""

import asyncio
import contextlib
import json
import os
import random
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
import fleet_2 as fleet  # noqa: E402

GATEWAYS = 5
UPSTREAMS = 5
REQUESTS_PER_SECOND = 5.0  # Sound ones at each gateway; 28 a second reach the engines of the site.
FATAL_PER_SECOND = float(os.environ.get("FATAL_PER_SECOND", "0.25"))  # In all.
BACK_SECONDS = 4.2
CALM_SECONDS = 6.0
TROUBLE_SECONDS = 44.0
CONTACT_SECONDS = 3.0  # contact_ms of the site.
JUDGED_AFTER_CRASH = 5
GRACE_SECONDS = 8.0  # grace_s of the site.
MIN_REQUESTS = 20  # Of the rule, of each kind.
CALLER_SECONDS = 4.0
FATAL_PART = "dead"
ENGINE = {"service": "llm", "slots": 128, "events": 40, "event_seconds": 0.05}
CONFIGURATION = {
    "version": 1,
    "routes": [
        {
            "name": "check",
            "host": "demo.example",
            "prefix": "/stream/",
            "kind": "stream",
            "timeout_ms": 4000,
            "slo_ms": 1500,
            "service": "llm",
            "attempts": 1,
            "gap_target_ms": 500,
        }
    ],
    "services": [
        {
            "name": "llm",
            "health_path": "/healthz",
            "max_conns": 630,
            "engine": {"slots": 128, "stride": 3},
        }
    ],
    "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "idle_timeout_ms": 15000},
}


async def send_requests(gateways: list, outcomes: list, calls: list, fatal_from: float) -> None:
    """Send sound requests to all gateways, and fatal ones to any of them from a time on."""
    rng, fatal_at = random.Random(8), fatal_from

    async def send(gateway: fleet.Child, request_id: str, second_part: str) -> None:
        # All share the first part, some the third, and the last one belongs to the request itself.
        third_part = f"{rng.randrange(256, 319):x}"
        parts = f"a1:300,{second_part}:200,{third_part}:400,{request_id.encode().hex()}:300"
        headers = {"X-Quinceferry-Token-Count": "1200,120", "X-Quinceferry-Prompt-Prefix": parts}
        outcomes.append(await fleet.send(gateway, "/stream/x", request_id, CALLER_SECONDS, headers))

    while True:
        for gateway in gateways:
            second_part = f"{rng.randrange(16, 36):x}"
            request = send(gateway, f"sound-{len(calls)}", second_part)
            calls.append(asyncio.create_task(request))
        if time.time() >= fatal_at:
            fatal_at += 1 / FATAL_PER_SECOND
            request_id = f"fatal-{len(calls)}"
            calls.append(asyncio.create_task(send(rng.choice(gateways), request_id, FATAL_PART)))
        await asyncio.sleep(1 / REQUESTS_PER_SECOND)


def begun_share(outcomes: list) -> float:
    """Return the share of requests that begun at the first attempt."""
    return sum(item.status == 200 and bool(item.events) for item in outcomes) / max(
        1, len(outcomes)
    )


async def stop_all(gateways: list) -> int:
    """Send SIGTERM to all gateways; return how many have ended within the grace time."""
    for gateway in gateways:
        gateway.send(signal.SIGTERM)
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(GRACE_SECONDS):
            await asyncio.gather(*(gateway.process.wait() for gateway in gateways))
    return sum(gateway.process.returncode is not None for gateway in gateways)


async def case(is_troubled: bool) -> bool:
    """Run the case; return whether LOST was broken."""
    outcomes, calls = [], []
    fatal_part = FATAL_PART if is_troubled else ""
    async with fleet.Fleet() as processes:
        await fleet.put_key(processes.store, "op/config", json.dumps(CONFIGURATION).encode())
        fields = [
            {"id": f"i-{number}", "fatal_part": fatal_part, **ENGINE} for number in range(UPSTREAMS)
        ]
        upstreams = [await processes.start_upstream(**item) for item in fields]
        gateways = [await processes.start_gateway(f"vm-{number}") for number in range(GATEWAYS)]
        for gateway in gateways:
            await fleet.wait_until(lambda gateway=gateway: fleet.is_ready(gateway))
        keepers = [
            asyncio.create_task(fleet.keep_running(processes, *pair, BACK_SECONDS))
            for pair in zip(upstreams, fields, strict=True)
        ]
        fatal_from = time.time() + CALM_SECONDS
        sending = asyncio.create_task(send_requests(gateways, outcomes, calls, fatal_from))
        await asyncio.sleep(CALM_SECONDS + TROUBLE_SECONDS)
        sending.cancel()
        ready = [await fleet.answers_ready(gateway) for gateway in gateways]
        await asyncio.gather(*calls)
        for keeper in keepers:
            keeper.cancel()
        ended = await stop_all(gateways)
        lines = fleet.upstream_lines(processes.children)
        crashes = sorted(line["at"] for line in lines if line.get("event") == "fell")
        sound = [item for item in outcomes if item.request.startswith("sound")]
        before = [item for item in sound if item.sent_at < fatal_from]
        # The last crash counts where there are fewer; without any, the beginning of the requests.
        counted = crashes[:JUDGED_AFTER_CRASH] or [fatal_from]
        after = [item for item in sound if item.sent_at >= counted[-1] + 2 * CONTACT_SECONDS]
        has_enough = min(len(before), len(after)) >= MIN_REQUESTS
        is_broken = has_enough and 2 * begun_share(after) < begun_share(before)
        fatal = [item for item in outcomes if item.request.startswith("fatal")]
        reached = [
            line
            for line in lines
            if line.get("event") == "arrived"
            and line["request"].startswith("fatal")
            and line["at"] >= counted[-1] + CONTACT_SECONDS
        ]
        notes = [
            f"trouble: {is_troubled}; {len(fatal)} requests with the part, {len(crashes)} crashes",
            f"sound requests that began before: {begun_share(before):.2f} of {len(before)}; "
            f"from twice contact_ms after crash {len(counted)}: "
            f"{begun_share(after):.2f} of {len(after)}",
            f"requests with the part that reached upstreams from contact_ms after: {len(reached)}",
            f"ready at the end: {ready}",
            f"ended by SIGTERM within {GRACE_SECONDS:g} s: {ended} of {GATEWAYS}",
            f"LOST {'broken' if is_broken else 'held'}",
        ]
        fleet.write_record(FOLDER, outcomes, processes.children, notes)
        print("\n".join(notes))
    return is_broken


if __name__ == "__main__":
    fleet.run_case(case)
