"""Structured JSON logs of state changes and errors; frequent events are metrics instead."""

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
"""Interval between comparisons of the blackboard with the state that was last logged."""

_SECRET_NAME_PARTS = ("secret", "password", "authorization", "operator_key", "api_key", "ticket")
_REDACTED = "[hidden]"
_log = structlog.get_logger()
_logged_locations: set[tuple[object, ...]] = set()


def configure(stream: TextIO | None = None) -> None:
    """Write log lines, including warnings of libraries, as JSON objects.

    :param stream: output stream; standard error when None.
    """
    stream = stream or sys.stderr
    _logged_locations.clear()
    shared_processors = [
        structlog.processors.add_log_level,
        structlog.processors.TimeStamper(fmt="iso", utc=True),
        redact_secrets,
    ]
    structlog.configure(
        processors=[
            *shared_processors,
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
            foreign_pre_chain=shared_processors,
            processors=[
                structlog.stdlib.ProcessorFormatter.remove_processors_meta,
                structlog.processors.format_exc_info,
                structlog.processors.JSONRenderer(),
            ],
        )
    )
    logging.basicConfig(handlers=[handler], level=logging.WARNING, force=True)


def log_unexpected_error(error: BaseException, step: str) -> None:
    """Log an unexpected error with its traceback, once per type of error and source line.

    :param error: the error.
    :param step: the operation that failed.
    """
    frames = traceback.extract_tb(error.__traceback__)
    location = (type(error).__name__, frames[-1].filename, frames[-1].lineno) if frames else ()
    if location not in _logged_locations:
        _logged_locations.add(location)
        _log.error("bug", step=step, exc_info=error)


def redact_secrets(
    logger: Any, method: str, event: MutableMapping[str, Any]
) -> MutableMapping[str, Any]:
    """Redact the value of every field whose name contains a word for a secret."""
    for name in event:
        if any(word in name.lower() for word in _SECRET_NAME_PARTS):
            event[name] = _REDACTED
    return event


@dataclass(slots=True, frozen=True)
class _LoggedState:
    """State of the router that was last logged."""

    state: RouterState
    revision: int
    members: frozenset[str]
    leaving: frozenset[str]


class ChangeLog(TaskGroupController):
    """Logs one line for each change of the router's state, configuration, members and upstreams.

    :param blackboard: shared state; read-only here.
    :param clock: source of time.
    """

    def __init__(self, blackboard: Blackboard, clock: Clock) -> None:
        super().__init__()
        self._blackboard = blackboard
        self._clock = clock
        self._logged_state = self._read_state()

    async def start(self) -> None:
        """Start the periodic check."""
        self.spawn(self._check_periodically(), "change log")

    async def stop(self) -> None:
        """Stop the periodic check and check a last time."""
        await super().stop()
        self.check()

    def check(self) -> None:
        """Log the changes since the last check."""
        before, now = self._logged_state, self._read_state()
        self._logged_state = now
        if now.state is not before.state:
            self._log_change("router.state", state=now.state.value, before=before.state.value)
        if now.revision != before.revision:
            self._log_change("configuration.applied", revision=now.revision, before=before.revision)
        self._log_set_changes("member", before.members, now.members)
        self._log_set_changes("upstream_leaving", before.leaving, now.leaving)

    async def _check_periodically(self) -> None:
        """Check for changes at each interval."""
        while True:
            await self._clock.sleep(CHECK_INTERVAL_SECONDS)
            self.check()

    def _log_set_changes(self, name: str, before: frozenset[str], now: frozenset[str]) -> None:
        """Log the items that were added to a set or removed from it."""
        for item in sorted(now - before):
            self._log_change(f"{name}.added", id=item)
        for item in sorted(before - now):
            self._log_change(f"{name}.removed", id=item)

    def _log_change(self, event: str, **fields: Any) -> None:
        """Log a change with the identity of this router."""
        identity = self._blackboard.identity
        _log.info(event, vm=identity.vm, incarnation=identity.incarnation, **fields)

    def _read_state(self) -> _LoggedState:
        """Return the part of the blackboard whose changes are logged."""
        blackboard = self._blackboard
        return _LoggedState(
            blackboard.state,
            blackboard.configuration.revision,
            frozenset(blackboard.members_by_incarnation),
            frozenset(key for key, status in blackboard.upstreams_by_id.items() if status.leaving),
        )
