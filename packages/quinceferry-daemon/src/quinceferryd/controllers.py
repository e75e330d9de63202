"""Life-cycle hooks of the parts of an application."""

import asyncio
from collections.abc import Coroutine
from typing import Any, Protocol

import structlog

_log = structlog.get_logger()


class Controller(Protocol):
    """A part of the application with its own background work."""

    async def start(self) -> None:
        """Acquire resources and start background tasks."""

    async def stop(self) -> None:
        """Stop background tasks and release resources; idempotent."""


class TaskGroupController:
    """Base of controllers that own background tasks."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[Any]] = set()

    def spawn(self, coroutine: Coroutine[Any, Any, Any], name: str) -> asyncio.Task[Any]:
        """Run a coroutine until it ends or the controller stops.

        :param work: the coroutine to run.
        :param name: task name shown in diagnostics.
        :return: the task, which the controller owns.
        """
        task = asyncio.create_task(coroutine, name=name)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)
        return task

    async def start(self) -> None:
        """Start nothing; subclasses spawn their loops here."""

    async def stop(self) -> None:
        """Cancel all background tasks and wait for their end."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _on_task_done(self, task: asyncio.Task[Any]) -> None:
        """Forget a task that has ended, and report one that failed for a reason nobody expected."""
        self._tasks.discard(task)
        if task.cancelled() or task.exception() is None:
            return
        _log.error("task failed", task=task.get_name(), exc_info=task.exception())
