"""Background tasks of the application's parts, with a common life cycle."""

import asyncio
from collections.abc import Coroutine
from typing import Any

from quinceferry_gateway.logs import log


class Controller:
    """Part of the application that runs tasks between its start and its stop."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Begin; subclasses spawn their tasks."""

    async def stop(self) -> None:
        """Cancel all tasks and wait for them."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def spawn(self, coroutine: Coroutine[Any, Any, None], name: str) -> asyncio.Task[None]:
        """Run a task until it ends or the controller stops; a failure is logged."""
        task = asyncio.create_task(coroutine, name=name)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)
        return task

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        """Forget a task and log why it failed."""
        self._tasks.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            log.failure("task.failed", task=task.get_name(), error=repr(error))
