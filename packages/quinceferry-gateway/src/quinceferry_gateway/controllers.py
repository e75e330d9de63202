"""Base class for components with background tasks."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from quinceferry_gateway.logs import log

RESTART_PAUSE_SECONDS = 1.0
"""Pause before a supervised task runs again after a failure."""


class Controller:
    """Component of the application that runs background tasks between start and stop."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[None]] = set()
        self._shared_tasks_by_name: dict[str, asyncio.Task[None]] = {}

    async def start(self) -> None:
        """Start the component; subclasses spawn their tasks here."""

    async def stop(self) -> None:
        """Cancel all tasks and wait for them."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def spawn(self, coroutine: Coroutine[Any, Any, None], name: str) -> asyncio.Task[None]:
        """Run a coroutine as a task until it ends or the controller stops; log its failure."""
        task = asyncio.create_task(coroutine, name=name)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)
        return task

    def spawn_shared(
        self, run: Callable[[], Coroutine[Any, Any, None]], name: str
    ) -> asyncio.Task[None]:
        """Return the running task of a name, which is started unless it runs already."""
        task = self._shared_tasks_by_name.get(name)
        if task is None:
            task = self._shared_tasks_by_name[name] = self.spawn(run(), name)
            task.add_done_callback(lambda _: self._shared_tasks_by_name.pop(name, None))
        return task

    def supervise(
        self, run: Callable[[], Coroutine[Any, Any, None]], name: str
    ) -> asyncio.Task[None]:
        """Run a task on which the gateway depends until it returns or the controller stops.

        It runs again after an unexpected failure: without it the gateway would look sound, and work
        with what it knew at that moment for as long as the process lives.
        """
        return self.spawn(self._run_again_after_failures(run, name), name)

    async def _run_again_after_failures(
        self, run: Callable[[], Coroutine[Any, Any, None]], name: str
    ) -> None:
        """Run a task, again after each failure, which is logged."""
        while True:
            try:
                await run()
            except Exception as error:
                log.failure("task.restarted", task=name, error=repr(error))
                await asyncio.sleep(RESTART_PAUSE_SECONDS)
            else:
                return

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        """Remove a finished task and log its exception, if any."""
        self._tasks.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            log.failure("task.failed", task=task.get_name(), error=repr(error))
