"""Resident memory of each kind of state a router holds, each size in a process of its own."""

import asyncio
import os
import random
import sys
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import msgspec

from quinceferry_core.adapters import LoadReport
from quinceferry_core.budgets import Allotment, BudgetRecord
from quinceferry_core.clocks import SystemClock
from quinceferry_core.copies import EntryCopy, HoldRequest
from quinceferry_core.journals import Begin, RequestKey
from quinceferry_core.membership import Member
from quinceferry_core.models import (
    Configuration,
    IncarnationId,
    ModelRef,
    RequestId,
    UpstreamId,
    UpstreamSpec,
    Usage,
    WorkspaceId,
    WorkspaceSpec,
)
from quinceferry_core.outcomes import Chunk, Finished
from quinceferry_lab.capacity_fits import Point, Series, Slope, fit
from quinceferry_lab.capacity_processes import run_child
from quinceferry_standins.kv import FakeKv
from quinceferryd.application import Application
from quinceferryd.blackboard import Blackboard, Identity
from quinceferryd.copy_store import CopyStore
from quinceferryd.holdings import Holding
from quinceferryd.journal import JournalWriter
from quinceferryd.keys import KeyRing, key_digest
from quinceferryd.runs import RunStore
from quinceferryd.settings import JournalSettings, RoutingSettings
from quinceferryd.tracking import UpstreamTracker

MAX_CHILDREN = 3
ANSWER_TOKENS = 240
"""Tokens of a stored answer, as many as a request has in the long run, one chunk each."""
COPIES_IN_CALL = 32
HOLDERS_OF_BUDGET = 3

_base = Application
"""Named so that the daemon's libraries are loaded before the first reading."""


class ManualClock(SystemClock):
    """Clock whose monotonic time is set."""

    def __init__(self) -> None:
        self.seconds = 0.0

    def monotonic(self) -> float:
        """Return the time that was set."""
        return self.seconds


def resident_bytes() -> int:
    """Return this process's resident memory."""
    fields = Path("/proc/self/statm").read_text().split()
    return int(fields[1]) * os.sysconf("SC_PAGE_SIZE")


def _workspaces(count: int) -> object:
    """Build the configuration of workspaces with the index of their keys."""
    ring = KeyRing()
    names = [f"workspace-{number:06d}" for number in range(count)]
    encoded = [
        msgspec.json.encode(
            WorkspaceSpec(WorkspaceId(name), (key_digest(name),), (ModelRef("ledger-large"),))
        )
        for name in names
    ]
    specs = [msgspec.json.decode(text, type=WorkspaceSpec) for text in encoded]
    configuration = Configuration(1, {spec.id: spec for spec in specs})
    ring.find("Bearer none", configuration)
    return ring, configuration


def _budgets(count: int) -> object:
    """Build holdings, each with the budget record that was read last."""
    return {f"workspace-{number:06d}": _holding(number) for number in range(count)}


def _holding(number: int) -> Holding:
    """Build one holding."""
    allotments = {
        IncarnationId(f"vm-{holder:04d}-{number:08x}"): Allotment(90_000, 10_000, 80_000, 7)
        for holder in range(HOLDERS_OF_BUDGET)
    }
    name = WorkspaceId(f"workspace-{number:06d}")
    encoded = msgspec.json.encode(BudgetRecord(name, 10**7, 10**5, 0, allotments))
    return Holding(record=msgspec.json.decode(encoded, type=BudgetRecord))


def _peers(count: int) -> object:
    """Build the view of the fleet's members."""
    members = {}
    for number in range(count):
        name = IncarnationId(f"vm-{number:04d}-{number:016x}")
        member = Member(name, f"vm-{number:04d}", "zone-a", f"10.0.0.1:{number}", number)
        members[name] = msgspec.json.decode(msgspec.json.encode(member), type=Member)
    return members


def _upstreams(count: int) -> object:
    """Build what is configured and known of upstreams that have reported."""
    board = Blackboard(Identity("vm", "zone-a", "10.0.0.1:80"))
    clock = ManualClock()
    tracker = UpstreamTracker(board, clock, RoutingSettings())
    for number in range(count):
        name = UpstreamId(f"engine-{number:05d}")
        spec = UpstreamSpec(name, f"http://10.1.0.1:{number}", "zone-a")
        board.configuration.upstreams_by_id[name] = spec
        report = LoadReport(3, 0, 4000, 16, (ModelRef("ledger-large"),))
        encoded = msgspec.json.encode(report)
        tracker.apply_report(name, msgspec.json.decode(encoded, type=LoadReport))
    return board, tracker


def _entry(number: int) -> Begin:
    """Build one journal entry."""
    workspace = WorkspaceId(f"workspace-{number % 100:06d}")
    request = RequestId(f"{number:08x}-0000-4000-8000-{number:012x}")
    return Begin(workspace, request, 1, UpstreamId("engine-00001"), 700)


def _journal_entries(count: int) -> object:
    """Queue entries that wait for their commit."""

    async def queue() -> object:
        clock = SystemClock()
        rng = random.Random(1)
        writer = JournalWriter(
            IncarnationId("vm-1"), FakeKv(clock), clock, rng, JournalSettings(), lambda: None
        )
        return writer, [writer.append(_entry(number)) for number in range(count)]

    return asyncio.new_event_loop().run_until_complete(queue())


def _copies(count: int) -> object:
    """Hold copies of other routers' entries, which come in batches."""
    store = CopyStore()
    holder = IncarnationId("vm-1")
    store.add_own_incarnation(holder)
    for first in range(0, count, COPIES_IN_CALL):
        copies = tuple(EntryCopy(n, _entry(n)) for n in range(first, first + COPIES_IN_CALL))
        store.hold(HoldRequest(holder, IncarnationId("vm-2"), copies))
    return store


def _answers(count: int) -> object:
    """Store finished answers, each as the chunks that came."""
    store = RunStore(ManualClock(), max_stored_bytes=1 << 40)
    for number in range(count):
        _finish_run(store, number)
    return store


def _outcomes(count: int) -> object:
    """Store outcomes whose answers have been dropped."""
    store = RunStore(ManualClock(), max_stored_bytes=0)
    for number in range(count):
        _finish_run(store, number)
    return store


def _finish_run(store: RunStore, number: int) -> None:
    """Run one request to its end in a store."""
    entry = _entry(number)
    run = store.begin(RequestKey(entry.workspace, entry.request), number.to_bytes(32, "big"))
    for token in range(ANSWER_TOKENS):
        run.publish(Chunk(token, 1, f"{token:04d}"))
    run.publish(Finished(Usage(300, ANSWER_TOKENS)))
    store.finish(run)


_SUBJECTS: dict[str, tuple[Series, Callable[[int], object], tuple[int, ...]]] = {
    "workspace": (
        Series("memory_workspace", "configured workspace", "bytes"),
        _workspaces,
        (3000, 6000, 9000, 12000),
    ),
    "budget": (
        Series("memory_budget", "budget held", "bytes"),
        _budgets,
        (1000, 2000, 4000, 8000),
    ),
    "peer": (Series("memory_peer", "peer", "bytes"), _peers, (1000, 2000, 4000, 8000)),
    "upstream": (
        Series("memory_upstream", "upstream", "bytes"),
        _upstreams,
        (1100, 2200, 3300, 4400),
    ),
    "journal_entry": (
        Series("memory_journal_entry", "entry waiting for its commit", "bytes"),
        _journal_entries,
        (2000, 4000, 8000, 16000),
    ),
    "copied_entry": (
        Series("memory_copied_entry", "entry held for a peer", "bytes"),
        _copies,
        (8000, 16000, 24000, 32000),
    ),
    "answer": (
        Series("memory_answer", f"stored answer of {ANSWER_TOKENS} tokens", "bytes"),
        _answers,
        (250, 500, 1000, 2000),
    ),
    "outcome": (
        Series("memory_outcome", "stored outcome without its answer", "bytes"),
        _outcomes,
        (2000, 4000, 8000, 16000),
    ),
}


def measure() -> list[Slope]:
    """Measure all subjects."""
    jobs = [(subject, size) for subject, (_, _, sizes) in _SUBJECTS.items() for size in sizes]
    with ThreadPoolExecutor(MAX_CHILDREN) as pool:
        texts = list(pool.map(lambda job: run_child(__name__, job[0], str(job[1])), jobs))
    points_by_subject: dict[str, list[Point]] = {subject: [] for subject in _SUBJECTS}
    for (subject, size), text in zip(jobs, texts, strict=True):
        points_by_subject[subject].append(Point(size, float(text)))
    return [fit(_SUBJECTS[subject][0], points) for subject, points in points_by_subject.items()]


def main() -> None:
    """Build one subject at one size and print the memory that it took."""
    subject, size = sys.argv[1], int(sys.argv[2])
    build = _SUBJECTS[subject][1]
    build(1)
    before = resident_bytes()
    held = build(size)
    print(resident_bytes() - before)
    del held


if __name__ == "__main__":
    main()
