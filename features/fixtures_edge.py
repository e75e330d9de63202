"""Fake application behind the real HTTP interfaces, on a free port of 127.0.0.1."""

import asyncio
import logging
from contextlib import asynccontextmanager
from datetime import UTC, datetime, timedelta

import openai
from returns.result import Failure, Success

from quinceferry_core.adapters import RecallReply
from quinceferry_core.clocks import SystemClock
from quinceferry_core.models import Configuration, ModelRef, ModelSpec, Ticket, Usage, WorkspaceSpec
from quinceferry_core.outcomes import Chunk, Finished
from quinceferryd.blackboard import Blackboard, Identity, RouterState
from quinceferryd.interfaces import AddressAnswer
from quinceferryd.keys import key_digest
from quinceferryd.metrics import NullMetrics
from quinceferryd.server import HttpServer, build_app
from quinceferryd.settings import (
    CallerSettings,
    PlatformSettings,
    RouterSettings,
    Settings,
    StreamSettings,
)

for _name in ("httpx", "httpx2"):
    logging.getLogger(_name).setLevel(logging.WARNING)

KEY = "key-of-choir"
OTHER_KEY = "key-of-club"
FLEET_SECRET = "fleet-secret-of-sixteen"
OPERATOR_KEY = "operator-key-of-sixteen"
GOOD_TICKET = "ticket-of-choir"
MAX_BODY_BYTES = 4096
WORDS = ("The", " dues", " balance")


class FakePipeline:
    """Answers every request with a script of events and remembers what it was given."""

    def __init__(self):
        self.requests = []
        self.script = answer_script()
        self.outcomes_by_key = {}
        self.hang_after = None
        self.pulled = 0
        self.closed = asyncio.Event()
        self.release = asyncio.Event()
        self.in_progress = asyncio.Event()
        self.runs_on = False

    async def submit(self, request):
        self.requests.append(request)
        try:
            for index, event in enumerate(self.script):
                if index == self.hang_after:
                    self.in_progress.set()
                    await self.release.wait()
                self.pulled += 1
                if isinstance(event, Exception):
                    raise event
                yield event
            self.runs_on = True
        finally:
            self.closed.set()

    async def outcome(self, workspace, request_id):
        return self.outcomes_by_key.get((workspace, request_id))


class FakeAllotments:
    async def recall(self, workspace, wanted):
        return RecallReply(returned=min(wanted, 70), still_held=30)


class FakeAddresses:
    def __init__(self):
        self.addresses = ("127.0.0.1:1", "127.0.0.1:2")

    def answer(self, workspace, caller_zone=""):
        return AddressAnswer(self.addresses, 30.0, f"ticket-of-{workspace}")


class FakeTickets:
    def verify(self, text):
        owner, _, _ = text.removeprefix("ticket-of-").partition(".")
        if not text.startswith("ticket-of-"):
            return Failure("not a ticket")
        expires = datetime.now(UTC) + timedelta(seconds=30)
        return Success(Ticket(owner, "incarnation-1", "127.0.0.1:1", expires))


class FakeApplication:
    """Application of one router in the state SERVING."""

    def __init__(self):
        self.settings = Settings(
            router=RouterSettings("vm-1", "a", "127.0.0.1", 0, FLEET_SECRET, OPERATOR_KEY),
            platform=PlatformSettings("http://127.0.0.1:1", "http://127.0.0.1:2"),
            callers=CallerSettings(max_body_bytes=MAX_BODY_BYTES),
            streams=StreamSettings(reader_timeout_seconds=5.0),
        )
        self.clock = SystemClock()
        self.blackboard = Blackboard(Identity("vm-1", "a", "127.0.0.1:0"))
        self.blackboard.state = RouterState.SERVING
        self.blackboard.configuration = _configuration()
        self.metrics = NullMetrics()
        self.pipeline = FakePipeline()
        self.allotments = FakeAllotments()
        self.addresses = FakeAddresses()
        self.tickets = FakeTickets()


def _configuration():
    ledger = ModelRef("ledger")
    workspaces = [
        WorkspaceSpec("choir", (key_digest(KEY),), (ledger,), ("postings",)),
        WorkspaceSpec("club", (key_digest(OTHER_KEY),), (ledger,)),
    ]
    models = [ModelSpec("ledger", max_output_tokens=100), ModelSpec("hidden")]
    return Configuration(
        revision=1,
        workspaces_by_id={workspace.id: workspace for workspace in workspaces},
        models_by_name={model.name: model for model in models},
    )


def answer_script():
    chunks = [Chunk(index, 1, word) for index, word in enumerate(WORDS)]
    return [*chunks, Finished(Usage(prompt_tokens=5, output_tokens=len(WORDS)))]


@asynccontextmanager
async def served(application):
    """Serve an application; yields ``host:port``."""
    server = HttpServer(build_app(application), "127.0.0.1", 0, 5.0)
    await server.start()
    try:
        yield f"127.0.0.1:{server.port}"
    finally:
        await server.stop()


@asynccontextmanager
async def openai_client(address, key=KEY):
    """Connect the ordinary client library, without retries of its own."""
    http = openai.DefaultAsyncHttpxClient(trust_env=False)
    async with openai.AsyncOpenAI(
        api_key=key, base_url=f"http://{address}/v1", max_retries=0, http_client=http
    ) as client:
        yield client
