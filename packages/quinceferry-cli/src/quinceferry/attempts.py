"""Safe retries of one request: same request id, same ticket, another address."""

import random
import uuid
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

import httpx

from quinceferry.addresses import AddressAnswer, AddressCache, base_url
from quinceferry.exceptions import (
    AnswerBrokenError,
    OutcomeUnknownError,
    RefusedError,
    RequestError,
    RouterUnreachableError,
)
from quinceferry.retries import RetryPolicy
from quinceferry_core.clocks import Clock

REQUEST_ID_HEADER = "Idempotency-Key"
TICKET_HEADER = "X-Quinceferry-Ticket"
NON_IDEMPOTENT_HEADER = "X-Quinceferry-Non-Idempotent"
PRIORITY_HEADER = "X-Quinceferry-Priority"

JOURNAL_CLOSED_PROOF = "journal_closed_without_it"
"""Proof that the home router of a request has not run it and never will."""

FailureHook = Callable[[RequestError], None]
"""Callback for the error of a failed attempt."""


@dataclass(slots=True, frozen=True)
class PreparedCall:
    """The parts of a request that are the same in all of its attempts."""

    method: str
    path: str
    content: bytes
    request_id: str = field(default_factory=lambda: uuid.uuid4().hex)
    idempotent: bool = True
    headers: Mapping[str, str] = field(default_factory=dict)


class RetrySequence:
    """Chooses the router of each attempt of one call and decides whether another may follow.

    As long as an attempt may have begun, the request keeps its ticket: a new ticket might name
    another home router, which does not know the attempt. Once it is proven that no attempt has
    run, the request gets a new ticket, since a home router repeats its refusal for the old one. The
    closed journal of a home router proves that none of the attempts there ran.

    :param policy: number of attempts and delays between them.
    :param clock: clock for the delays.
    :param generator: random generator for the jitter.
    :param on_failure: called with the error of each failed attempt.
    """

    def __init__(
        self,
        call: PreparedCall,
        address_cache: AddressCache,
        policy: RetryPolicy,
        clock: Clock,
        generator: random.Random,
        on_failure: FailureHook | None = None,
    ) -> None:
        self._call = call
        self._on_failure = on_failure
        self._address_cache = address_cache
        self._policy = policy
        self._clock = clock
        self._generator = generator
        self._ticket: str | None = None
        self._may_have_begun = False
        self.attempts_made = 0

    async def next_request(self, http: httpx.AsyncClient) -> httpx.Request:
        """Build the request of the next attempt."""
        answer = await self._read_addresses()
        if self._ticket is None:
            self._ticket = answer.ticket
        address = answer.addresses[self.attempts_made % len(answer.addresses)]
        self.attempts_made += 1
        return http.build_request(
            self._call.method,
            f"{base_url(address)}{self._call.path}",
            content=self._call.content,
            headers=self._headers(),
        )

    async def wait_or_raise(self, error: RequestError) -> None:
        """Wait before the next attempt, or raise when none may follow.

        :param error: error of the last attempt.
        """
        if self._on_failure is not None:
            self._on_failure(error)
        if isinstance(error, RouterUnreachableError | AnswerBrokenError):
            self._address_cache.invalidate()
        if isinstance(error, RefusedError) and error.proof == JOURNAL_CLOSED_PROOF:
            self._may_have_begun = False
        self._may_have_begun |= _may_have_begun(error)
        if isinstance(error, RefusedError) and not self._may_have_begun:
            self._discard_ticket()
        retry_after = _retry_after_seconds(error)
        if retry_after is None or self.attempts_made >= self._policy.max_attempts:
            raise self._final_error(error)
        delay = self._policy.delay_seconds(self.attempts_made, retry_after, self._generator)
        await self._clock.sleep(delay)

    async def _read_addresses(self) -> AddressAnswer:
        """Return the addresses, with retries while no router can be reached."""
        while True:
            try:
                answer = await self._address_cache.get()
            except (RouterUnreachableError, RefusedError) as error:
                self.attempts_made += 1
                await self.wait_or_raise(error)
                continue
            if answer.addresses:
                return answer
            self._address_cache.invalidate()
            self.attempts_made += 1
            await self.wait_or_raise(
                RouterUnreachableError("no router accepts requests", step="address")
            )

    def _discard_ticket(self) -> None:
        """Discard a non-idempotent request's ticket, so that the next attempt gets a new one."""
        if not self._call.idempotent:
            self._address_cache.invalidate()
            self._ticket = None

    def _headers(self) -> dict[str, str]:
        """Return the headers of the next attempt."""
        headers = {REQUEST_ID_HEADER: self._call.request_id, **self._call.headers}
        headers[NON_IDEMPOTENT_HEADER] = "false" if self._call.idempotent else "true"
        if self._ticket:
            headers[TICKET_HEADER] = self._ticket
        return headers

    def _final_error(self, error: RequestError) -> RequestError:
        """Return the error for the caller.

        A missing answer after a send is never reported as a request that did not run.
        """
        if isinstance(error, RefusedError) or self._call.idempotent or not self._may_have_begun:
            return error
        return OutcomeUnknownError(
            error.detail,
            reason="no_answer",
            outcome="unknown",
            request=error.request,
            response=error.response,
            step=error.step,
        )


def _may_have_begun(error: RequestError) -> bool:
    """Return whether an upstream may have begun the request in a failed attempt."""
    if isinstance(error, RefusedError):
        return error.outcome != "not_run"
    return not isinstance(error.__cause__, httpx.ConnectError | httpx.ConnectTimeout)


def _retry_after_seconds(error: RequestError) -> float | None:
    """Return the minimum delay before another attempt, or None when none may follow."""
    if isinstance(error, RefusedError):
        return error.retry_after_seconds or None
    return 0.0
