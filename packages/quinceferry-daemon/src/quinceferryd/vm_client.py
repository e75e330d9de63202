"""HTTP client of the platform's VM list."""

import asyncio

import httpx
import msgspec

from quinceferry_core.exceptions import PlatformUnavailableError
from quinceferry_core.models import VmRecord
from quinceferry_core.platform_messages import CLIENT_HEADER, VM_LIST_PATH, VmListReply

_STEP = "vms.list"


class HttpVmList:
    """The VM list over HTTP; implements ``VmList``.

    :param base_url: address of the service.
    :param timeout_seconds: timeout of a call.
    :param http: connection pool; the caller closes it.
    :param client_name: name of this client, by which the service counts calls.
    """

    def __init__(
        self,
        base_url: str,
        timeout_seconds: float,
        http: httpx.AsyncClient,
        client_name: str = "",
    ) -> None:
        self._base_url = base_url.rstrip("/")
        self._timeout_seconds = timeout_seconds
        self._http = http
        self._headers = {CLIENT_HEADER: client_name}

    async def list(self) -> list[VmRecord]:
        """Read the list.

        :raises PlatformUnavailableError: there was no valid answer before the timeout.
        """
        response = await self._send()
        if response.status_code != httpx.codes.OK:
            raise self._error(f"status {response.status_code}")
        try:
            return msgspec.json.decode(response.content, type=VmListReply).vms
        except msgspec.DecodeError as error:
            raise self._error(f"unreadable answer: {error}") from error

    async def _send(self) -> httpx.Response:
        url = self._base_url + VM_LIST_PATH
        try:
            async with asyncio.timeout(self._timeout_seconds):
                return await self._http.post(url, headers=self._headers, timeout=None)
        except TimeoutError as error:
            raise self._error(f"no answer within {self._timeout_seconds} s") from error
        except httpx.HTTPError as error:
            raise self._error(f"{type(error).__name__}: {error}") from error

    def _error(self, detail: str) -> PlatformUnavailableError:
        return PlatformUnavailableError(detail, step=_STEP, peer=self._base_url)
