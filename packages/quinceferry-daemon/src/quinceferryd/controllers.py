"""Life cycle of the components of a router and of their background tasks."""

import asyncio
from collections.abc import Coroutine
from typing import Any, Protocol

import structlog

_log = structlog.get_logger()


class Controller(Protocol):
    """A component of the application with background tasks of its own."""

    async def start(self) -> None:
        """Acquire resources and start background tasks."""

    async def stop(self) -> None:
        """Stop background tasks and release resources; idempotent."""


class TaskGroupController:
    """Base class of controllers that own background tasks."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[Any]] = set()

    def spawn(self, coroutine: Coroutine[Any, Any, Any], name: str) -> asyncio.Task[Any]:
        """Run a coroutine as a task until it ends or the controller stops.

        :param coroutine: the coroutine to run.
        :param name: task name shown in diagnostics.
        :return: the task, which the controller owns.
        """
        task = asyncio.create_task(coroutine, name=name)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)
        return task

    async def start(self) -> None:
        """Start the background tasks; the base class has none."""

    async def stop(self) -> None:
        """Cancel all background tasks and wait until they have ended."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _on_task_done(self, task: asyncio.Task[Any]) -> None:
        """Remove a finished task, and log the exception of one that failed."""
        self._tasks.discard(task)
        if task.cancelled() or task.exception() is None:
            return
        _log.error("task failed", task=task.get_name(), exc_info=task.exception())
