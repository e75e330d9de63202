"""Base class of the clients of both APIs: connections, retries and closing."""

import random
from types import TracebackType
from typing import Self

import httpx

from quinceferry.retries import RetryPolicy
from quinceferry_core.clocks import Clock, SystemClock


class Session:
    """An asynchronous context manager that owns its connections.

    :param http: HTTP client, which is closed with the session.
    """

    def __init__(
        self,
        http: httpx.AsyncClient,
        *,
        policy: RetryPolicy | None = None,
        clock: Clock | None = None,
        generator: random.Random | None = None,
    ) -> None:
        self._http = http
        self._policy = policy or RetryPolicy()
        self._clock = clock or SystemClock()
        self._generator = generator or random.Random()

    async def __aenter__(self) -> Self:
        """Return the client itself."""
        return self

    async def __aexit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Close the connections."""
        await self.close()

    async def close(self) -> None:
        """Close the connections."""
        await self._http.aclose()
