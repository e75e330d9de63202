"""Steps for the store of runs."""

import asyncio

from behave import given, then, when

from quinceferry_core.journals import RequestKey
from quinceferry_core.models import RequestId, Usage, WorkspaceId
from quinceferry_core.outcomes import Chunk, Finished
from quinceferry_lab.virtual_time import VirtualTimeLoop
from quinceferryd.runs import RunStore

KEY = RequestKey(WorkspaceId("choir"), RequestId("q1"))


class SteppedClock:
    def __init__(self):
        self.seconds = 0.0

    def monotonic(self):
        return self.seconds


@given("a run whose answer came in {count:d} pieces")
def given_run(context, count):
    given_run_with_gap(context, count, count)


@given("a run whose answer came in {count:d} pieces with a gap after {before:d}")
def given_run_with_gap(context, count, before):
    context.runner = asyncio.Runner(loop_factory=VirtualTimeLoop)
    context.add_cleanup(context.runner.close)
    context.clock = SteppedClock()
    context.store = RunStore(context.clock)
    context.run = context.store.begin(KEY, b"print")
    for number in range(count):
        context.run.publish(Chunk(number + (number >= before), 1, f" w{number}"))


@given("a reader of the run that has read {count:d} pieces")
def given_reader(context, count):
    context.reader = context.run.replay()
    context.read = []

    async def read():
        for _ in range(count):
            context.read.append(await anext(context.reader))

    context.runner.run(read())


@when("the run has ended")
def when_ended(context):
    context.answer_text = "".join(event.text for event in context.run.events)
    context.run.publish(Finished(Usage(5, len(context.run.events))))
    context.store.finish(context.run)


@when("the store drops the text of the run")
def when_dropped(context):
    context.clock.seconds += 301
    assert context.store.find(KEY).answer_dropped


@when("the same request is run again {seconds:d} seconds later")
def when_again(context, seconds):
    context.clock.seconds += seconds
    context.run = context.store.begin(KEY, b"print")


@when("{seconds:d} seconds pass for the store")
def when_passed(context, seconds):
    context.clock.seconds += seconds


@then("the store holds the answer in {count:d} piece")
@then("the store holds the answer in {count:d} pieces")
def then_pieces(context, count):
    chunks = [event for event in context.store.find(KEY).events if isinstance(event, Chunk)]
    assert len(chunks) == count, chunks
    assert "".join(chunk.text for chunk in chunks) == context.answer_text


@then("a later reader of the run gets the same text and the end")
def then_later_reader(context):
    async def read():
        return [event async for event in context.run.replay()]

    *chunks, last = context.runner.run(read())
    assert "".join(chunk.text for chunk in chunks) == context.answer_text
    assert last == Finished(Usage(5, 240)), last


@then("the reader of the run gets {count:d} pieces and the end")
def then_reader(context, count):
    async def read():
        return [event async for event in context.reader]

    *chunks, last = context.read + context.runner.run(read())
    assert [chunk.offset for chunk in chunks] == list(range(count)), chunks
    assert isinstance(last, Finished), last


@then("the store knows the later run of the request")
def then_known(context):
    assert context.store.find(KEY) is context.run
