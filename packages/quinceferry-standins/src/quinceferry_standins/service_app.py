"""HTTP application of a stand-in plain service."""

from typing import Any

from litestar import HttpMethod, Litestar, Request, Response, get, post, route

from quinceferry_core.adapters import LoadReport
from quinceferry_core.exceptions import UpstreamError
from quinceferry_core.upstream_messages import LOAD_PATH
from quinceferry_standins.engine_app import LEAVE_PATH, RUNS_PATH
from quinceferry_standins.runs import RunRecord
from quinceferry_standins.service import CONTENT_TYPE, FakeService, expected_reply
from quinceferry_standins.upstream_wire import read_service_call, refuse

_METHODS = [HttpMethod.GET, HttpMethod.POST, HttpMethod.PUT, HttpMethod.PATCH, HttpMethod.DELETE]


def service_app(service: FakeService) -> Litestar:
    """Return the application that serves a plain service; any other path is a call.

    :param service: the stand-in.
    :return: an ASGI application.
    """

    @get(LOAD_PATH)
    async def load() -> LoadReport:
        return service.load()

    @get(RUNS_PATH)
    async def runs() -> list[RunRecord]:
        return service.runs

    @post(LEAVE_PATH, status_code=200)
    async def leave() -> None:
        service.leave()

    @route("/{rest:path}", http_method=_METHODS, status_code=200)
    async def call(request: Request[Any, Any, Any]) -> Response[bytes]:
        query = f"?{request.url.query}" if request.url.query else ""
        path = f"{request.url.path}{query}"
        body = await request.body()
        dispatch = read_service_call(service.upstream, request.headers, request.method, path, body)
        await service.call(dispatch)
        return Response(expected_reply(dispatch.request), media_type=CONTENT_TYPE)

    return Litestar(
        [load, runs, leave, call], exception_handlers={UpstreamError: refuse}, openapi_config=None
    )
