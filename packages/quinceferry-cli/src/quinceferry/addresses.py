"""Which router to use, as the fleet itself answers, cached for as long as the answer holds."""

import random
from collections.abc import Sequence

import httpx
import msgspec

from quinceferry.exceptions import RefusedError, RouterUnreachableError
from quinceferry.refusals import read_refusal
from quinceferry_core.clocks import Clock

ADDRESS_PATH = "/v1/address"
ADDRESS_TIMEOUT_SECONDS = 5.0
"""Time allowed to one router for an address answer."""


def base_url(address: str) -> str:
    """Return the base URL of a router's address, which may lack its scheme."""
    url = address if "://" in address else f"http://{address}"
    return url.rstrip("/")


class AddressAnswer(msgspec.Struct, frozen=True):
    """Base URLs to use, best first, for how long, and the ticket to send with each request."""

    addresses: list[str]
    ttl_seconds: float
    ticket: str = ""


class AddressCache:
    """Caches the address answer of one workspace.

    :param http: connections, with the workspace's key in their headers.
    :param routers: base URLs of some routers, of which one must answer.
    :param clock: tells when the answer is stale.
    :param generator: spreads callers over the given routers.
    :param zone: availability zone of the caller, or empty.
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
        """Return the cached answer, or ask for a new one when it is stale.

        :raises RefusedError: the key is wrong.
        :raises RouterUnreachableError: no router answered.
        """
        now = self._clock.monotonic()
        if self._answer is None or now >= self._expires_at:
            self._answer = await self._fetch()
            self._expires_at = now + self._answer.ttl_seconds
        return self._answer

    def invalidate(self) -> None:
        """Ask again at the next read, because the addresses in the answer failed."""
        self._expires_at = 0.0

    async def _fetch(self) -> AddressAnswer:
        """Ask routers in turn until one answers; those of the last answer are asked too."""
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
        """Ask one router."""
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
                f"unreadable answer: {error}",
                request=response.request,
                response=response,
                step="address",
            ) from error
