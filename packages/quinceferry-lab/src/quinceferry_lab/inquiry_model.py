"""Model of a recoverer's questions about a request that was attempted twice at one upstream.

The holder begins a second attempt only after it knows the use of the first. Its journal is closed
at any moment; the recoverer then asks the upstream for the use of each attempt whose Begin is
durable, and frees the rest of the allotment once it has an answer for each.
"""

from collections.abc import Iterator
from enum import IntEnum
from typing import NamedTuple

from quinceferry_lab.protocol_model import Guard, Model, Step

ATTEMPTS = (0, 1)

Guards = frozenset[Guard]


class Progress(IntEnum):
    """How far one attempt has come."""

    NONE = 0
    BEGUN = 1
    ON_THE_WAY = 2
    RUN = 3


class InquiryState(NamedTuple):
    """State of two attempts of one request.

    ``accounted`` says for each attempt that the recoverer has taken an answer for it.
    """

    progress: tuple[Progress, Progress] = (Progress.NONE, Progress.NONE)
    is_closed: bool = False
    accounted: tuple[bool, bool] = (False, False)
    is_freed: bool = False


def steps(state: InquiryState, guards: Guards) -> Iterator[Step]:
    """Return all steps possible in a state."""
    for index in ATTEMPTS:
        yield from _attempt_steps(state, index)
        yield from _inquiry(state, index, guards)
    if not state.is_closed:
        yield "the recoverer closes the journal", state._replace(is_closed=True)
    begun = [index for index in ATTEMPTS if state.progress[index] >= Progress.BEGUN]
    if state.is_closed and not state.is_freed and all(state.accounted[index] for index in begun):
        yield "the recoverer frees the rest", state._replace(is_freed=True)


def _attempt_steps(state: InquiryState, index: int) -> Iterator[Step]:
    """Return the steps of the holder and the upstream with one attempt."""
    name = f"attempt {index + 1}"
    is_next = index == 0 or state.progress[0] is Progress.RUN
    match state.progress[index]:
        case Progress.NONE if is_next and not state.is_closed:
            yield f"the Begin of {name} becomes durable", _move(state, index, Progress.BEGUN)
        case Progress.BEGUN:
            yield f"the holder sends {name}", _move(state, index, Progress.ON_THE_WAY)
        case Progress.ON_THE_WAY:
            yield f"the upstream runs {name}", _move(state, index, Progress.RUN)


def _inquiry(state: InquiryState, index: int, guards: Guards) -> Iterator[Step]:
    """Return the upstream's answer about one attempt, if it knows what it is asked for."""
    is_begun = state.progress[index] >= Progress.BEGUN
    if not state.is_closed or not is_begun or state.accounted[index]:
        return
    # Asked about the request alone, an upstream answers for the latest run that it knows.
    asked = (index,) if Guard.ATTEMPT_NAMED in guards else ATTEMPTS
    if any(state.progress[other] is Progress.RUN for other in asked):
        accounted = (True, state.accounted[1]) if index == 0 else (state.accounted[0], True)
        answered = state._replace(accounted=accounted)
        yield f"the upstream tells the use of attempt {index + 1}", answered


def _move(state: InquiryState, index: int, progress: Progress) -> InquiryState:
    """Return the state with one attempt moved on."""
    first, second = state.progress
    return state._replace(progress=(progress, second) if index == 0 else (first, progress))


def _is_accounted(state: InquiryState) -> bool:
    """Return whether each run was over when the recoverer took an answer for it."""
    if not state.is_freed:
        return True
    runs = sum(progress is Progress.RUN for progress in state.progress)
    pending = sum(progress in (Progress.BEGUN, Progress.ON_THE_WAY) for progress in state.progress)
    return sum(state.accounted) == runs and pending == 0


INQUIRY_MODEL = Model(
    name="inquiry at an upstream",
    initial=InquiryState(),
    steps=steps,
    invariants={"freed tokens cannot be run by a late attempt": _is_accounted},
    guards=(Guard.ATTEMPT_NAMED,),
)
"""One request, two attempts, one upstream."""
