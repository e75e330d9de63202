"""Log lines as JSON, for changes of state only; what happens often is counted in metrics."""

import logging
import sys
import traceback
from collections.abc import MutableMapping
from dataclasses import dataclass
from typing import Any, TextIO

import structlog

from quinceferry_core.clocks import Clock
from quinceferryd.blackboard import Blackboard, RouterState
from quinceferryd.controllers import TaskGroupController

CHECK_INTERVAL_SECONDS = 1.0
"""How often the blackboard is compared with what was last logged."""

_SECRET_WORDS = ("secret", "password", "authorization", "operator_key", "api_key", "ticket")
_HIDDEN = "[hidden]"
_log = structlog.get_logger()
_reported_places: set[tuple[object, ...]] = set()


def configure(stream: TextIO | None = None) -> None:
    """Write log lines as JSON objects; library warnings come in the same form.

    :param stream: where to write; standard error when None.
    """
    stream = stream or sys.stderr
    _reported_places.clear()
    shared = [
        structlog.processors.add_log_level,
        structlog.processors.TimeStamper(fmt="iso", utc=True),
        hide_secrets,
    ]
    structlog.configure(
        processors=[
            *shared,
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.INFO),
        logger_factory=structlog.PrintLoggerFactory(stream),
        cache_logger_on_first_use=False,
    )
    handler = logging.StreamHandler(stream)
    handler.setFormatter(
        structlog.stdlib.ProcessorFormatter(
            foreign_pre_chain=shared,
            processors=[
                structlog.stdlib.ProcessorFormatter.remove_processors_meta,
                structlog.processors.format_exc_info,
                structlog.processors.JSONRenderer(),
            ],
        )
    )
    logging.basicConfig(handlers=[handler], level=logging.WARNING, force=True)


def log_bug(error: BaseException, step: str) -> None:
    """Log an error that no code expected, with its traceback, once for each place it comes from."""
    frames = traceback.extract_tb(error.__traceback__)
    place = (type(error).__name__, frames[-1].filename, frames[-1].lineno) if frames else ()
    if place not in _reported_places:
        _reported_places.add(place)
        _log.error("bug", step=step, exc_info=error)


def hide_secrets(
    logger: Any, method: str, event: MutableMapping[str, Any]
) -> MutableMapping[str, Any]:
    """Hide the value of every field whose name tells of a secret."""
    for name in event:
        if any(word in name.lower() for word in _SECRET_WORDS):
            event[name] = _HIDDEN
    return event


@dataclass(slots=True, frozen=True)
class _Seen:
    """What was last logged."""

    state: RouterState
    revision: int
    members: frozenset[str]
    leaving: frozenset[str]


class ChangeLog(TaskGroupController):
    """Logs one line for each change of what the blackboard says of the router.

    :param blackboard: shared state; only read.
    """

    def __init__(self, blackboard: Blackboard, clock: Clock) -> None:
        super().__init__()
        self._blackboard = blackboard
        self._clock = clock
        self._seen = self._read()

    async def start(self) -> None:
        """Start comparing."""
        self.spawn(self._check_forever(), "change log")

    async def stop(self) -> None:
        """Stop comparing, after a last comparison."""
        await super().stop()
        self.check()

    def check(self) -> None:
        """Log what has changed since the last check."""
        before, now = self._seen, self._read()
        self._seen = now
        if now.state is not before.state:
            self._line("router.state", state=now.state.value, before=before.state.value)
        if now.revision != before.revision:
            self._line("configuration.applied", revision=now.revision, before=before.revision)
        self._differences("member", before.members, now.members)
        self._differences("upstream_leaving", before.leaving, now.leaving)

    async def _check_forever(self) -> None:
        """Compare at each interval."""
        while True:
            await self._clock.sleep(CHECK_INTERVAL_SECONDS)
            self.check()

    def _differences(self, name: str, before: frozenset[str], now: frozenset[str]) -> None:
        """Log the members of a set that came and went."""
        for item in sorted(now - before):
            self._line(f"{name}.added", id=item)
        for item in sorted(before - now):
            self._line(f"{name}.removed", id=item)

    def _line(self, event: str, **fields: Any) -> None:
        """Write one line."""
        identity = self._blackboard.identity
        _log.info(event, vm=identity.vm, incarnation=identity.incarnation, **fields)

    def _read(self) -> _Seen:
        """Read the state that is logged."""
        board = self._blackboard
        return _Seen(
            board.state,
            board.configuration.revision,
            frozenset(board.members_by_incarnation),
            frozenset(key for key, status in board.upstreams_by_id.items() if status.leaving),
        )
