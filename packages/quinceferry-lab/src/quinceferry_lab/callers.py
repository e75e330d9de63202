"""Callers that behave as real clients do: they retry, lose patience, read slowly or vanish."""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import aclosing
from dataclasses import dataclass
from random import Random

from quinceferry_core.clocks import Clock
from quinceferry_core.models import CallerRequest
from quinceferry_core.outcomes import (
    AnswerEvent,
    Chunk,
    Failed,
    Finished,
    NotRun,
    RefusalReason,
)
from quinceferry_lab.caller_habits import (
    CallerPlan,
    Reading,
    Slow,
    Vanishing,
    draw_reading,
    is_proven_not_run,
    must_move,
    patience_factor,
)
from quinceferry_lab.connections import ConnectionBrokenError, Item, NotConnectedError
from quinceferry_lab.histories import (
    Answered,
    Attempt,
    AttemptEnd,
    Broken,
    History,
    NotConnected,
    Refused,
    Vanished,
)
from quinceferry_lab.network import Network
from quinceferry_lab.processes import RouterProcess
from quinceferryd.interfaces import AddressAnswer
from quinceferryd.settings import StreamSettings

MAX_ATTEMPTS = 12
GIVE_UP_SECONDS = 90.0
ADDRESS_TIMEOUT_SECONDS = 2.0
WRITE_TIMEOUT_SECONDS = StreamSettings().reader_timeout_seconds
LATE_REPEAT_SHARE = 0.3
"""Share of requests answered "not run, ask for a new address" that are sent again so."""


@dataclass(slots=True)
class _KeptAnswer:
    """An address answer and when it becomes stale."""

    answer: AddressAnswer
    stale_at: float


MakeRequest = Callable[[CallerPlan, int], CallerRequest]


class Caller:
    """One caller, which sends one request after another.

    :param addresses: returns the addresses that the caller knows from its settings.
    :param make_request: makes the caller's n-th request.
    """

    def __init__(
        self,
        plan: CallerPlan,
        network: Network,
        addresses: Callable[[], list[str]],
        make_request: MakeRequest,
        history: History,
        clock: Clock,
        rng: Random,
    ) -> None:
        self.plan = plan
        self._network = network
        self._addresses = addresses
        self._make_request = make_request
        self._history = history
        self._clock = clock
        self._rng = rng
        self._kept: _KeptAnswer | None = None

    async def run(self, until: float) -> None:
        """Send requests until a time."""
        number = 0
        while self._clock.monotonic() < until:
            await self._clock.sleep(self._rng.expovariate(1.0 / self.plan.pause_seconds))
            number += 1
            await self.ask(self._make_request(self.plan, number))

    async def ask(self, request: CallerRequest) -> Attempt | None:
        """Have one request served, through as many attempts as it takes.

        :return: the last attempt; None when no router told an address.
        """
        give_up_at = self._clock.monotonic() + GIVE_UP_SECONDS
        ticket = ""
        proven = True
        attempt: Attempt | None = None
        for number in range(1, MAX_ATTEMPTS + 1):
            answer = await self._address_answer(request)
            if answer is None:
                return attempt
            ticket = ticket or answer.ticket
            address = answer.addresses[(number - 1) % len(answer.addresses)]
            attempt = await self._attempt(request, number, address, ticket)
            wait = self._wait_before_retry(attempt)
            if wait is None or self._clock.monotonic() + wait >= give_up_at:
                return attempt
            proven = proven and is_proven_not_run(attempt)
            if must_move(attempt, proven):
                self._kept, ticket, proven = None, "", True
            await self._clock.sleep(wait)
        return attempt

    def _wait_before_retry(self, attempt: Attempt) -> float | None:
        """Return how long to wait before another attempt, or None to give up."""
        jitter = self._rng.uniform(1.0, 1.3) * patience_factor(attempt.number)
        match attempt.end:
            case Answered() | Vanished():
                return None
            case NotConnected():
                self._kept = None
                return 0.1 * jitter
            case Broken():
                return 0.2 * jitter
            case Refused() as refused:
                return self._wait_after_refusal(refused, jitter)
        return None

    def _wait_after_refusal(self, refused: Refused, jitter: float) -> float | None:
        """Return how long to wait after a refusal, or None to give up."""
        if refused.reason is RefusalReason.HOME_GONE and isinstance(refused.outcome, NotRun):
            is_repeated = self._rng.random() < LATE_REPEAT_SHARE
            return refused.retry_after_seconds * jitter if is_repeated else None
        if refused.retry_after_seconds > 0:
            return refused.retry_after_seconds * jitter
        return None if isinstance(refused.outcome, NotRun) else 1.0 * jitter

    async def _attempt(
        self, request: CallerRequest, number: int, address: str, ticket: str
    ) -> Attempt:
        """Send a request once and read its answer."""
        endpoint = self._network.endpoints_by_address.get(address)
        label = endpoint.label if endpoint else address
        now = self._clock.monotonic()
        attempt = Attempt(request, self.plan.name, number, label, now)
        self._history.attempts.append(attempt)
        try:
            attempt.end = await self._exchange(attempt, address, ticket)
        except NotConnectedError:
            attempt.end = NotConnected()
        except ConnectionBrokenError as error:
            attempt.end = Broken(error.by)
        except TimeoutError:
            attempt.end = Broken("silence")
        attempt.ended_at = self._clock.monotonic()
        return attempt

    async def _exchange(self, attempt: Attempt, address: str, ticket: str) -> AttemptEnd:
        """Carry out one attempt."""
        endpoint = self._network.endpoints_by_address.get(address)

        def serve() -> AsyncIterator[Item]:
            assert isinstance(endpoint, RouterProcess)
            return endpoint.edge.serve(attempt.request, ticket)

        connection = await self._network.open(self.plan.name, address, serve, WRITE_TIMEOUT_SECONDS)
        reading = draw_reading(self._rng)
        pieces = 0
        async with aclosing(self._network.read(connection)) as items:
            while True:
                if isinstance(reading, Vanishing) and pieces >= reading.after_pieces:
                    return Vanished()
                event = await self._next(items, reading)
                if event is None:
                    return Vanished() if isinstance(reading, Vanishing) else Broken("router")
                end = _take(attempt, event)
                if end is not None:
                    return end
                pieces += 1
                if isinstance(reading, Slow):
                    await self._clock.sleep(reading.seconds)

    async def _next(self, items: AsyncIterator[Item], reading: Reading) -> Item:
        """Return the next event; None when the answer ended early or the caller left."""
        if isinstance(reading, Vanishing):
            try:
                async with asyncio.timeout(reading.after_seconds):
                    return await anext(items, None)
            except TimeoutError:
                return None
        async with asyncio.timeout(self.plan.patience_seconds):
            return await anext(items, None)

    async def _address_answer(self, request: CallerRequest) -> AddressAnswer | None:
        """Return the kept answer, or ask known routers for a new one."""
        now = self._clock.monotonic()
        if self._kept is not None and now < self._kept.stale_at:
            return self._kept.answer
        addresses = self._addresses()
        self._rng.shuffle(addresses)
        for address in addresses:
            answer = await self._ask_address(request, address)
            if answer is not None and answer.addresses:
                self._kept = _KeptAnswer(answer, self._clock.monotonic() + answer.ttl_seconds)
                return answer
        return None

    async def _ask_address(self, request: CallerRequest, address: str) -> AddressAnswer | None:
        """Ask one router which addresses to use."""
        endpoint = self._network.endpoints_by_address.get(address)

        async def work() -> AddressAnswer | None:
            assert isinstance(endpoint, RouterProcess)
            return endpoint.edge.address(request, self.plan.zone)

        try:
            return await self._network.call(self.plan.name, address, work, ADDRESS_TIMEOUT_SECONDS)
        except (NotConnectedError, ConnectionBrokenError, TimeoutError):
            return None


def _take(attempt: Attempt, event: AnswerEvent) -> AttemptEnd | None:
    """Record an event; return the end of the attempt if this is it."""
    match event:
        case Chunk():
            attempt.text += event.text
            attempt.data += event.data
        case Finished():
            return Answered(event.usage, event.reason)
        case Failed():
            return Refused(
                event.reason,
                event.outcome,
                event.retry_after_seconds,
                event.detail,
                event.step,
            )
    return None
