"""Discovery of the routers to use, with a cache for the fleet's address answers."""

import random
from collections.abc import Sequence

import httpx
import msgspec

from quinceferry.exceptions import RefusedError, RouterUnreachableError
from quinceferry.refusals import read_refusal
from quinceferry_core.clocks import Clock

ADDRESS_PATH = "/v1/address"
ADDRESS_TIMEOUT_SECONDS = 5.0
"""Timeout of an address request to one router."""


def base_url(address: str) -> str:
    """Return the base URL of a router's address, whose scheme may be missing."""
    url = address if "://" in address else f"http://{address}"
    return url.rstrip("/")


class AddressAnswer(msgspec.Struct, frozen=True):
    """Base URLs to use, best first, how long they are valid, and the ticket for the requests."""

    addresses: list[str]
    ttl_seconds: float
    ticket: str = ""


class AddressCache:
    """Caches the address answer of one workspace.

    :param http: HTTP client that sends the workspace's key in its headers.
    :param routers: base URLs of some routers, at least one of which must answer.
    :param clock: clock for the expiry of the answer.
    :param generator: random generator, which spreads callers over the given routers.
    :param zone: availability zone of the caller; empty when unknown.
    """

    def __init__(
        self,
        http: httpx.AsyncClient,
        routers: Sequence[str],
        clock: Clock,
        generator: random.Random,
        zone: str = "",
    ) -> None:
        self._http = http
        self._routers = [base_url(router) for router in routers]
        self._clock = clock
        self._generator = generator
        self._query = {"zone": zone} if zone else {}
        self._answer: AddressAnswer | None = None
        self._expires_at = 0.0

    async def get(self) -> AddressAnswer:
        """Return the cached answer, or request a new one when it has expired.

        :raises RefusedError: the key is not valid.
        :raises RouterUnreachableError: no router answered.
        """
        now = self._clock.monotonic()
        if self._answer is None or now >= self._expires_at:
            self._answer = await self._fetch()
            self._expires_at = now + self._answer.ttl_seconds
        return self._answer

    def invalidate(self) -> None:
        """Make the next call request a new answer, because the addresses of this one failed."""
        self._expires_at = 0.0

    async def _fetch(self) -> AddressAnswer:
        """Request an answer from one router after the other, including those of the last answer."""
        last_addresses = self._answer.addresses if self._answer else []
        routers = list(dict.fromkeys([*self._routers, *map(base_url, last_addresses)]))
        self._generator.shuffle(routers)
        failure: RouterUnreachableError | RefusedError | None = None
        for router in routers:
            try:
                return await self._fetch_from(router)
            except RouterUnreachableError as error:
                failure = error
            except RefusedError as error:
                if not error.retry_after_seconds:
                    raise
                failure = error
        raise failure or RouterUnreachableError("no router is known", step="address")

    async def _fetch_from(self, router: str) -> AddressAnswer:
        """Request an answer from one router."""
        url = f"{router}{ADDRESS_PATH}"
        try:
            response = await self._http.get(
                url, params=self._query, timeout=ADDRESS_TIMEOUT_SECONDS
            )
        except httpx.TransportError as error:
            detail = f"no answer: {type(error).__name__} {error}"
            raise RouterUnreachableError(
                detail, request=httpx.Request("GET", url), step="address"
            ) from error
        if not response.is_success:
            raise read_refusal(response, response.content, step="address")
        try:
            return msgspec.json.decode(response.content, type=AddressAnswer)
        except msgspec.DecodeError as error:
            raise RouterUnreachableError(
                f"malformed answer: {error}",
                request=response.request,
                response=response,
                step="address",
            ) from error
