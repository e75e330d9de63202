"""Fetches weights from a weight store over HTTP, for engines in a process of their own."""

import httpx
import msgspec

from quinceferry_core.exceptions import PlatformUnavailableError
from quinceferry_core.models import ModelRef
from quinceferry_core.platform_messages import CLIENT_HEADER, WEIGHT_FETCH_PATH, WeightFetchRequest


class HttpWeights:
    """Weight store over HTTP.

    :param base_url: address of the store.
    :param client_name: name of the engine that fetches.
    """

    def __init__(self, base_url: str, client_name: str) -> None:
        self._base_url = base_url
        self._client_name = client_name

    async def fetch(self, model: ModelRef) -> None:
        """Return when a model's weights have arrived, however long that takes.

        :raises PlatformUnavailableError: the store did not send them.
        """
        body = msgspec.json.encode(WeightFetchRequest(model))
        headers = {"content-type": "application/json", CLIENT_HEADER: self._client_name}
        try:
            async with httpx.AsyncClient(base_url=self._base_url, trust_env=False) as http:
                reply = await http.post(
                    WEIGHT_FETCH_PATH, content=body, headers=headers, timeout=None
                )
                reply.raise_for_status()
        except httpx.HTTPError as error:
            step = "weights.fetch"
            raise PlatformUnavailableError(repr(error), step=step, peer=self._base_url) from error
