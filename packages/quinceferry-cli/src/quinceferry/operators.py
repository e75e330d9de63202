"""Client of the operator API."""

import random
import secrets
import time
from collections.abc import Sequence
from typing import Any

import httpx
import msgspec

from quinceferry.addresses import base_url
from quinceferry.exceptions import (
    AnswerBrokenError,
    ChangePendingError,
    OperatorCallError,
    RevisionConflictError,
    RouterUnreachableError,
)
from quinceferry.retries import RetryPolicy
from quinceferry.sessions import Session
from quinceferry_core.clocks import Clock
from quinceferry_core.operator_messages import (
    OPERATOR_PATH,
    REPLIES_BY_MESSAGE,
    Change,
    GetChange,
    GetStatus,
    Message,
)
from quinceferry_core.operator_replies import ChangeReply, OperatorFailure

OPERATOR_TIMEOUT_SECONDS = 15.0
"""Timeout of one attempt of a call."""
CHANGE_POLL_INTERVAL_SECONDS = 0.2
"""Interval between two polls of a change that is not accepted yet."""
REVISION_CONFLICT_CODE = "revision_conflict"
"""Failure code when the expected revision was not the current one."""


class OperatorClient(Session):
    """Calls the operator API at any router that answers.

    Every attempt of a call sends the same message with the same operation id, so that a change
    whose answer was lost is not made twice.

    :param routers: base URLs of routers, such as ``http://10.0.0.1:7700``.
    :param key: the operators' bearer key.
    """

    def __init__(
        self,
        routers: Sequence[str],
        key: str,
        *,
        policy: RetryPolicy | None = None,
        clock: Clock | None = None,
        generator: random.Random | None = None,
        transport: httpx.AsyncBaseTransport | None = None,
    ) -> None:
        self._routers = [base_url(router) for router in routers]
        http = httpx.AsyncClient(
            headers={"Authorization": f"Bearer {key}", "Content-Type": "application/json"},
            timeout=OPERATOR_TIMEOUT_SECONDS,
            transport=transport,
            trust_env=False,
        )
        super().__init__(http, policy=policy, clock=clock, generator=generator)

    async def call(
        self, message: Message, *, router: str = "", max_attempts: int | None = None
    ) -> Any:
        """Make one call and return its reply.

        :param router: the only router to call; empty for any.
        :param max_attempts: maximum number of attempts; that of the client's policy if absent.
        :return: the reply, of the type in ``REPLIES_BY_MESSAGE``.
        :raises OperatorCallError: the call was rejected, and a retry would not succeed.
        :raises RouterUnreachableError: no router answered.
        """
        routers = [base_url(router)] if router else self._routers
        max_attempts = max_attempts or self._policy.max_attempts
        attempt = 0
        while True:
            address = routers[attempt % len(routers)]
            attempt += 1
            try:
                return await self._send(address, message)
            except (OperatorCallError, RouterUnreachableError) as error:
                retry_after = _retry_after_seconds(error)
                if retry_after is None or attempt >= max_attempts:
                    raise
            delay = self._policy.delay_seconds(attempt, retry_after, self._generator)
            await self._clock.sleep(delay)

    async def change(self, kind: type[Change], /, **fields: Any) -> Any:
        """Make a change at the current revision with a new operation id.

        :param kind: type of the change.
        :param fields: fields of the change; ``operation_id`` and ``expected_revision`` override
            the defaults.
        :return: the reply to the change.
        """
        fields.setdefault("operation_id", new_operation_id())
        if "expected_revision" not in fields:
            fields["expected_revision"] = await self.revision()
        return await self.call(kind(**fields))

    async def revision(self) -> int:
        """Return the revision that the answering router has applied."""
        status = await self.call(GetStatus())
        return status.revision

    async def wait_accepted(self, change: ChangeReply, timeout_seconds: float) -> ChangeReply:
        """Wait until every router has applied a change.

        :param change: the reply to the change.
        :param timeout_seconds: maximum wait.
        :raises ChangePendingError: some routers have not applied it in time.
        """
        deadline = self._clock.monotonic() + timeout_seconds
        while change.state != "accepted":
            if self._clock.monotonic() >= deadline:
                awaited = tuple(router.router for router in change.awaited_routers)
                raise ChangePendingError(f"not applied yet by {', '.join(awaited)}", awaited)
            await self._clock.sleep(CHANGE_POLL_INTERVAL_SECONDS)
            change = await self.call(GetChange(operation_id=change.operation_id))
        return change

    async def pause(self, seconds: float) -> None:
        """Wait for some seconds of the client's clock."""
        await self._clock.sleep(seconds)

    async def _send(self, address: str, message: Message) -> Any:
        """Send a call to one router."""
        url = f"{address}{OPERATOR_PATH}/{type(message).__name__}"
        try:
            response = await self._http.post(url, content=msgspec.json.encode(message))
        except httpx.TransportError as error:
            detail = f"no answer: {type(error).__name__} {error}"
            request = httpx.Request("POST", url)
            raise RouterUnreachableError(detail, request=request, step="operator.call") from error
        if response.is_success:
            return _decode(response, REPLIES_BY_MESSAGE[type(message)])
        failure = _read_failure(response)
        kind = (
            RevisionConflictError if failure.code == REVISION_CONFLICT_CODE else OperatorCallError
        )
        raise kind(failure, request=response.request, response=response)


def new_operation_id() -> str:
    """Return a new unique operation id that sorts by time."""
    return f"op-{int(time.time()):010d}-{secrets.token_hex(6)}"


def _decode(response: httpx.Response, kind: type[msgspec.Struct]) -> msgspec.Struct:
    """Decode a reply."""
    try:
        return msgspec.json.decode(response.content, type=kind)
    except msgspec.DecodeError as error:
        detail = f"malformed answer: {error}"
        raise AnswerBrokenError(
            detail, request=response.request, response=response, step="operator.decode"
        ) from error


def _read_failure(response: httpx.Response) -> OperatorFailure:
    """Decode the failure of a call; a body that is not a router's becomes the detail."""
    try:
        return msgspec.json.decode(response.content, type=OperatorFailure)
    except msgspec.DecodeError:
        return OperatorFailure(code=f"http_{response.status_code}", detail=response.text[:200])


def _retry_after_seconds(error: OperatorCallError | RouterUnreachableError) -> float | None:
    """Return the minimum delay before a retry, or None when a retry cannot succeed."""
    if isinstance(error, RouterUnreachableError):
        return 0.0
    return error.failure.retry_after_seconds or None
