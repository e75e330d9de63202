"""HTTP server of the daemon, embedded so that the daemon controls when it stops."""

import asyncio
import contextlib
import socket
from collections.abc import Callable, Generator, Sequence
from typing import Any

import uvicorn
from litestar import Litestar, MediaType, Request, Response, get
from litestar.datastructures import State
from litestar.exceptions import HTTPException
from litestar.types import ControllerRouterHandler
from prometheus_client import CONTENT_TYPE_LATEST

from quinceferry_core.outcomes import Failed, RefusalReason, Unknown
from quinceferry_http import ConnectionMemory, Connections, count_descriptors
from quinceferryd.blackboard import RouterState
from quinceferryd.bodies import BodyMemory
from quinceferryd.caller_api import CallerApi, caller_routes
from quinceferryd.interfaces import RouterApplication
from quinceferryd.keys import matches_key
from quinceferryd.logs import log_unexpected_error
from quinceferryd.peer_api import PeerApi, peer_routes
from quinceferryd.refusals import error_document, error_headers, error_status, refusal
from quinceferryd.settings import ClientSettings

HttpRequest = Request[Any, Any, Any]

KEEP_ALIVE_TIMEOUT_SECONDS = 30
"""Idle time after which a connection is closed; longer than that of the project's clients."""
MAX_PENDING_CONNECTIONS = 1024
"""Size of the listen backlog: connections that may wait to be accepted."""

_SHUTDOWN_GRACE_SECONDS = 5
"""Time to finish responses at a stop, in addition to the reader timeout."""
_TICK_INTERVAL_SECONDS = 1.0
"""Interval of Uvicorn's periodic work, such as updating the date header."""
_REASONS_BY_STATUS = {
    404: RefusalReason.REQUEST_NOT_FOUND,
    413: RefusalReason.OVERSIZED,
    500: RefusalReason.INTERNAL,
}


def build_app(
    application: RouterApplication, handlers: Sequence[ControllerRouterHandler] = ()
) -> Litestar:
    """Return the ASGI application with all HTTP interfaces of a router.

    :param application: the router.
    :param handlers: additional route handlers, such as the operator API.
    """
    body_memory = BodyMemory(application.settings.callers.max_total_body_bytes)
    state = {
        "application": application,
        "caller_api": CallerApi(application, body_memory),
        "peer_api": PeerApi(application),
    }
    return Litestar(
        route_handlers=[caller_routes(), peer_routes(), _health, _ready, _metrics, *handlers],
        state=State(state, deep_copy=False),
        exception_handlers={
            HTTPException: _respond_to_http_error,
            Exception: _respond_to_unexpected_error,
        },
        openapi_config=None,
        logging_config=None,
    )


class EmbeddedServer(uvicorn.Server):
    """Uvicorn server that leaves signal handling to the daemon.

    :param app: the ASGI application.
    :param reader_timeout_seconds: how long a response may wait for its reader.
    :param clients: what clients may send.
    :param on_limit: as for :class:`Connections`.
    """

    def __init__(
        self,
        app: Litestar,
        reader_timeout_seconds: float,
        clients: ClientSettings,
        on_limit: Callable[[str], None],
    ) -> None:
        config = uvicorn.Config(
            app,
            log_config=None,
            log_level="warning",
            access_log=False,
            lifespan="off",
            http=self._create_protocol,
            ws="none",
            server_header=False,
            timeout_keep_alive=KEEP_ALIVE_TIMEOUT_SECONDS,
            timeout_graceful_shutdown=int(reader_timeout_seconds) + _SHUTDOWN_GRACE_SECONDS,
        )
        super().__init__(config)
        self._connections = Connections(
            clients,
            min(clients.max_connections, count_descriptors() // 2),
            on_limit,
            ConnectionMemory(clients.max_held_bytes),
            self.server_state,
        )
        self._stop_requested = asyncio.Event()

    def _create_protocol(self, **options: Any) -> asyncio.BaseProtocol:
        """Return the protocol instance for a new connection."""
        return self._connections.create_protocol(**options)

    def request_stop(self) -> None:
        """Request that the server finish the responses in progress and stop."""
        self.should_exit = True
        self._stop_requested.set()

    async def main_loop(self) -> None:
        """Run the periodic tick until the stop; Uvicorn's own loop wakes ten times a second."""
        while not await self.on_tick(0):
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._stop_requested.wait(), _TICK_INTERVAL_SECONDS)

    @contextlib.contextmanager
    def capture_signals(self) -> Generator[None, None, None]:
        """Override Uvicorn's signal handling with none."""
        yield


class HttpServer:
    """Listens on a socket and serves an ASGI application.

    :param app: the ASGI application.
    :param host: address to listen on.
    :param port: port to listen on; zero selects a free port.
    :param reader_timeout_seconds: how long a response may wait for its reader.
    :param clients: what clients may send.
    :param on_limit: as for :class:`Connections`.
    """

    def __init__(
        self,
        app: Litestar,
        host: str,
        port: int,
        reader_timeout_seconds: float,
        clients: ClientSettings | None = None,
        on_limit: Callable[[str], None] = lambda effect: None,
    ) -> None:
        clients = clients or ClientSettings()
        self._server = EmbeddedServer(app, reader_timeout_seconds, clients, on_limit)
        self._host = host
        self._port = port
        self._task: asyncio.Task[None] | None = None

    @property
    def port(self) -> int:
        """Return the listening port."""
        return self._port

    @property
    def connections(self) -> set[Any]:
        """Return the Uvicorn protocol objects of all open connections."""
        return self._server.server_state.connections

    async def start(self) -> None:
        """Start to listen and serve.

        :raises OSError: the address can't be bound.
        """
        listener = _create_listener(self._host, self._port)
        self._port = listener.getsockname()[1]
        self._task = asyncio.create_task(self._server.serve([listener]), name="http-server")

    async def stop(self) -> None:
        """Close the listening socket and wait until the responses in progress are finished."""
        self._server.request_stop()
        if self._task is not None:
            await self._task


def _create_listener(host: str, port: int) -> socket.socket:
    """Return a listening socket.

    The protocol is given explicitly, because asyncio sets ``TCP_NODELAY`` only on sockets whose
    protocol is ``IPPROTO_TCP``. Without it, the second write of each response waits for the
    acknowledgement of the first.
    """
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    listener = socket.socket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        listener.bind((host, port))
    except OSError:
        listener.close()
        raise
    listener.listen(MAX_PENDING_CONNECTIONS)
    listener.setblocking(False)
    return listener


@get("/health", media_type=MediaType.TEXT)
async def _health(request: HttpRequest) -> Response[str]:
    """Return whether the process is healthy; a fenced router must be replaced."""
    fenced = request.app.state.application.blackboard.state is RouterState.FENCED
    return Response("fenced" if fenced else "ok", status_code=503 if fenced else 200)


@get("/ready", media_type=MediaType.TEXT)
async def _ready(request: HttpRequest) -> Response[str]:
    """Return whether the router accepts new callers."""
    state = request.app.state.application.blackboard.state
    if state is RouterState.SERVING:
        return Response("ready")
    return Response(state.value, status_code=503, headers={"retry-after": "1"})


@get("/metrics")
async def _metrics(request: HttpRequest) -> Response[bytes]:
    """Return all metrics; requires the operator key.

    The text is built in a thread, so that a scrape doesn't block the event loop and its streams.
    """
    application = request.app.state.application
    authorization = request.headers.get("authorization", "")
    if not matches_key(authorization, application.settings.router.operator_key):
        return _create_error_response(
            refusal(RefusalReason.UNAUTHENTICATED, "the operators' key is wrong")
        )
    text = await asyncio.to_thread(application.metrics.exposition)
    return Response(text, media_type=CONTENT_TYPE_LATEST)


def _respond_to_http_error(request: HttpRequest, error: HTTPException) -> Response[bytes]:
    """Return the response to a request that the framework rejected."""
    reason = _REASONS_BY_STATUS.get(error.status_code, RefusalReason.MALFORMED)
    return _create_error_response(refusal(reason, error.detail), error.status_code)


def _respond_to_unexpected_error(request: HttpRequest, error: Exception) -> Response[bytes]:
    """Return the response to a request whose handler raised an unexpected error.

    The outcome is unknown, because the handler may have run any part of the request.
    """
    log_unexpected_error(error, "server")
    failed = Failed(RefusalReason.INTERNAL, Unknown(), detail="internal error")
    return _create_error_response(failed)


def _create_error_response(failed: Failed, status: int = 0) -> Response[bytes]:
    """Return the error response for a failure.

    :param failed: the failure.
    :param status: HTTP status; zero selects the status of the failure.
    """
    headers = {name.decode(): value.decode() for name, value in error_headers(failed)}
    return Response(
        error_document(failed),
        status_code=status or error_status(failed),
        headers=headers,
        media_type=MediaType.JSON,
    )
