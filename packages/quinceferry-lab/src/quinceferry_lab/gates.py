"""Pause and kill one router that shares an event loop with others.

Every task and callback of a router runs in a context that names the router's gate, and the loop
asks the gate before it runs a callback. A paused router thus stops between any two of its steps
while its timers fall due, and a killed one never takes another step. What it handed to the network
before goes on its way.
"""

import asyncio
from collections import Counter
from collections.abc import Callable, Coroutine
from contextvars import Context, ContextVar, copy_context
from dataclasses import dataclass, field
from enum import Enum
from typing import Any, TypeVar

from quinceferry_lab.virtual_time import VirtualTimeLoop

T = TypeVar("T")

_current_gate: ContextVar["Gate | None"] = ContextVar("current_gate", default=None)


class GateState(Enum):
    """What becomes of a router's callbacks."""

    OPEN = "open"
    PAUSED = "paused"
    KILLED = "killed"
    DISCARDED = "discarded"


class CallKind(Enum):
    """Kind of a call that leaves a router."""

    KV_READ = "kv_read"
    KV_WRITE = "kv_write"
    VM_LIST = "vm_list"
    PEER = "peer"
    RUN = "run"
    RESUME = "resume"
    UPSTREAM = "upstream"


@dataclass(slots=True, frozen=True)
class PauseAtSend:
    """Pauses the router just before its next call of a kind leaves."""

    kind: CallKind
    seconds: float


@dataclass(slots=True)
class _Held:
    """A callback whose turn came while the router was paused."""

    callback: Callable[..., object]
    args: tuple[Any, ...]
    handle: "_HandleCell"
    context: Context


@dataclass(slots=True)
class _HandleCell:
    """Where a guarded callback finds its own handle, to learn whether it was cancelled."""

    handle: asyncio.Handle | None = None

    @property
    def cancelled(self) -> bool:
        """Return whether the callback must not run any more."""
        return self.handle is not None and self.handle.cancelled()


@dataclass(slots=True, eq=False)
class Gate:
    """Decides whether one router takes its next step.

    ``calls_by_kind`` counts the calls that left the router; ``ended`` is set when it is killed.
    """

    name: str
    state: GateState = GateState.OPEN
    calls_by_kind: Counter[CallKind] = field(default_factory=Counter)
    pause_at_send: PauseAtSend | None = None
    ended: asyncio.Event = field(default_factory=asyncio.Event)
    _held: list[_Held] = field(default_factory=list)
    _network_tasks: set[asyncio.Task[Any]] = field(default_factory=set)

    def context(self) -> Context:
        """Return a new context in which everything belongs to this router."""
        context = copy_context()
        context.run(_current_gate.set, self)
        return context

    def spawn(self, work: Coroutine[Any, Any, T], name: str = "") -> asyncio.Task[T]:
        """Run a coroutine as a task of this router."""
        loop = asyncio.get_running_loop()
        return loop.create_task(work, name=name or self.name, context=self.context())

    def pause(self) -> None:
        """Stop the router where it is; its clock goes on."""
        if self.state is GateState.OPEN:
            self.state = GateState.PAUSED

    def resume(self) -> None:
        """Let a paused router take the steps that fell due meanwhile, in their order."""
        if self.state is not GateState.PAUSED:
            return
        self.state = GateState.OPEN
        held, self._held = self._held, []
        loop = asyncio.get_running_loop()
        for callback in held:
            loop.call_soon(_run_late, callback, context=callback.context)

    def kill(self) -> None:
        """End the router between two steps; its open connections break.

        The callbacks are kept, so that nothing is finalized by the garbage collector.
        """
        if self.state is GateState.DISCARDED:
            return
        self.state = GateState.KILLED
        self.ended.set()
        for task in list(self._network_tasks):
            task.cancel()

    def discard(self) -> None:
        """End the router so that its tasks can be cancelled; calls of it reach nobody."""
        was_held, self._held = self._held, []
        self.state = GateState.DISCARDED
        loop = asyncio.get_running_loop()
        for callback in was_held:
            loop.call_soon(_run_late, callback, context=callback.context)

    async def before_send(self, kind: CallKind) -> None:
        """Give a pause its chance between a decision and the send that follows from it."""
        if self.state is GateState.DISCARDED:
            raise asyncio.CancelledError
        self.calls_by_kind[kind] += 1
        armed = self.pause_at_send
        if armed is not None and armed.kind is kind:
            self.pause_at_send = None
            self.pause()
            in_network(_later(armed.seconds, self.resume), "resume")
        await asyncio.sleep(0)

    def connection(self, work: Coroutine[Any, Any, T], name: str) -> asyncio.Task[T]:
        """Run a coroutine in the network; it is cancelled when the router is killed."""
        task = in_network(work, name)
        self._network_tasks.add(task)
        task.add_done_callback(self._network_tasks.discard)
        return task

    def hold(self, held: _Held) -> None:
        """Keep a callback until the router is resumed."""
        self._held.append(held)


class GatedLoop(VirtualTimeLoop):
    """Virtual-time loop that asks the gate of each callback's router."""

    def call_soon(
        self, callback: Callable[..., object], *args: Any, context: Context | None = None
    ) -> asyncio.Handle:
        """Arrange for a callback to be called as soon as possible."""
        gate = _gate_of(context)
        if gate is None:
            return super().call_soon(callback, *args, context=context)
        context = context or copy_context()
        cell = _HandleCell()
        handle = super().call_soon(_run, gate, callback, args, cell, context, context=context)
        cell.handle = handle
        return handle

    def call_at(
        self,
        when: float,
        callback: Callable[..., object],
        *args: Any,
        context: Context | None = None,
    ) -> asyncio.TimerHandle:
        """Arrange for a callback to be called at a time of this loop."""
        gate = _gate_of(context)
        if gate is None:
            return super().call_at(when, callback, *args, context=context)
        context = context or copy_context()
        cell = _HandleCell()
        handle = super().call_at(when, _run, gate, callback, args, cell, context, context=context)
        cell.handle = handle
        return handle


def current_gate() -> Gate | None:
    """Return the gate of the running task's router; None outside all routers."""
    return _current_gate.get()


def in_network(work: Coroutine[Any, Any, T], name: str) -> asyncio.Task[T]:
    """Run a coroutine as a task that belongs to no router."""
    context = copy_context()
    context.run(_current_gate.set, None)
    return asyncio.get_running_loop().create_task(work, name=name, context=context)


def run_gated(work: Coroutine[Any, Any, T]) -> T:
    """Run a coroutine to its end on a new gated loop."""
    with asyncio.Runner(loop_factory=GatedLoop) as runner:
        return runner.run(work)


def _gate_of(context: Context | None) -> Gate | None:
    """Return the gate that a context names."""
    if context is None:
        return _current_gate.get()
    return context.get(_current_gate, None)


def _run(
    gate: Gate,
    callback: Callable[..., object],
    args: tuple[Any, ...],
    cell: _HandleCell,
    context: Context,
) -> None:
    """Run a callback if its router may take a step now."""
    if gate.state in (GateState.OPEN, GateState.DISCARDED):
        callback(*args)
        return
    gate.hold(_Held(callback, args, cell, context))


def _run_late(held: _Held) -> None:
    """Run a callback that was held, unless it has been cancelled meanwhile."""
    if not held.handle.cancelled:
        held.callback(*held.args)


async def _later(seconds: float, act: Callable[[], None]) -> None:
    """Do something after a while."""
    await asyncio.sleep(seconds)
    act()
