"""Steps for streams from upstreams."""

import asyncio
import random
from contextlib import aclosing

from behave import given, then, when
from fixtures_routing import MODEL, Answer, Router, Site, request
from fixtures_streams import ReadLog, ScriptedUpstreams, draw_fault

from quinceferry_core.models import UpstreamId
from quinceferry_core.outcomes import (
    Chunk,
    Failed,
    Finished,
    NotRun,
    NotRunProof,
    RefusalReason,
    Unknown,
)
from quinceferry_lab.virtual_time import run_virtual
from quinceferry_standins.engine_settings import EngineSettings
from quinceferry_standins.outputs import expected_chunk, expected_output
from quinceferry_standins.upstream_faults import (
    Break,
    Duplicate,
    LoseRequest,
    RefuseConnection,
    Silence,
    Stall,
    Swap,
)
from quinceferryd.settings import StreamSettings


def _build(context, engines, **options):
    context.site = Site.build(engines, EngineSettings(models=(MODEL,)))
    context.router = Router(context.site, wrap=ReadLog, **options)
    context.log = context.router.client


def _script(context, upstreams):
    count = len(upstreams.words_by_upstream)
    context.site = Site.build(count, EngineSettings(models=(MODEL,)))
    context.router = Router(context.site, wrap=lambda _: upstreams)
    context.script = upstreams


def _one_fault(context, fault, count=1):
    """Give the faults to the first connections, whichever engine they go to."""
    faults = [fault] * count

    def draw(dispatch):
        return faults.pop(0) if faults else None

    for engine in context.site.engines_by_id:
        context.router.upstreams.link(engine).draw_fault = draw


def _run(context, work):
    async def started():
        await context.router.start()
        try:
            return await work()
        finally:
            await context.router.stop()

    return run_virtual(started())


def _engine(context, answer):
    return context.site.engines_by_id[answer.dispatches[-1][0]]


@given("a router with {count:d} stand-in engine")
@given("a router with {count:d} stand-in engines")
def build_router(context, count):
    _build(context, count)


@given("a router that holds at most {count:d} chunks for a reader")
def build_small_buffer(context, count):
    _build(context, 1, streaming=StreamSettings(max_buffered_chunks=count))


@given("a router with {count:d} stand-in engines and connection faults drawn from seed {seed:d}")
def build_faulty(context, count, seed):
    _build(context, count, seed=seed)
    rng = random.Random(seed)
    for engine in context.site.engines_by_id:
        context.router.upstreams.link(engine).draw_fault = lambda dispatch: draw_fault(rng)


@given("a router whose only upstream omits chunk {chunk:d} on the first connection")
def build_omission(context, chunk):
    words = {UpstreamId("e0"): [f"w{position} " for position in range(5)]}
    _script(context, ScriptedUpstreams(words, omitted={chunk}))
    context.expected_text = "".join(words[UpstreamId("e0")])


@given("a router whose upstreams sample different texts")
def build_sampling(context):
    words = {
        UpstreamId(upstream): [f"{upstream}.{position} " for position in range(5)]
        for upstream in ("e0", "e1")
    }
    _script(context, ScriptedUpstreams(words))


@given("the next upstream connection goes silent after {chunks:d} chunks")
def silence_next(context, chunks):
    _one_fault(context, Silence(chunks))


@given("the next upstream connection breaks after {chunks:d} chunks")
def break_next(context, chunks):
    _one_fault(context, Break(chunks))


@given("each of the next {count:d} upstream connections breaks after {chunks:d} chunks")
def break_several(context, count, chunks):
    _one_fault(context, Break(chunks), count)


@given("the next upstream connection stalls after {chunks:d} chunks for {seconds:d} seconds")
def stall_next(context, chunks, seconds):
    _one_fault(context, Stall(chunks, seconds))


@given("the next upstream connection delivers chunk {chunk:d} twice")
def duplicate_next(context, chunk):
    _one_fault(context, Duplicate(chunk))


@given("the next upstream connection swaps chunk {chunk:d} with the one after it")
def swap_next(context, chunk):
    _one_fault(context, Swap(chunk))


@given("the next upstream connection loses the request")
def lose_next(context):
    _one_fault(context, LoseRequest())


@given("every engine refuses the next connection")
def refuse_next(context):
    _one_fault(context, RefuseConnection())


@given("no engine accepts connections")
def refuse_all(context):
    for engine in context.site.engines_by_id:
        link = context.router.upstreams.link(engine)
        link.draw_fault = lambda dispatch: RefuseConnection()


@when("a caller streams an answer of {tokens:d} tokens")
def stream_answer(context, tokens):
    wanted = request(output_tokens=tokens)
    context.answer = _run(context, lambda: context.router.answer(wanted))


@when("a caller streams a non-idempotent answer of {tokens:d} tokens")
def stream_once(context, tokens):
    wanted = request(output_tokens=tokens, idempotent=False)
    context.answer = _run(context, lambda: context.router.answer(wanted))


async def _answer_until(context, wanted, tokens, act):
    """Stream an answer and act once that many tokens have come."""
    answer = Answer(wanted)
    acted = False
    events = context.router.open(wanted, answer.result, answer.dispatches)
    async with aclosing(events):
        async for event in events:
            answer.events.append(event)
            if not acted and isinstance(event, Chunk) and event.offset + event.tokens >= tokens:
                acted = True
                if act(answer):
                    break
    return answer


@when("a caller streams an answer of {tokens:d} tokens and the engine dies after {after:d}")
def stream_with_death(context, tokens, after):
    _stream_with_death(context, request(output_tokens=tokens), after)


@when(
    "a caller streams a non-idempotent answer of {tokens:d} tokens "
    "and the engine dies after {after:d}"
)
def stream_once_with_death(context, tokens, after):
    _stream_with_death(context, request(output_tokens=tokens, idempotent=False), after)


def _stream_with_death(context, wanted, after):
    def crash(answer):
        _engine(context, answer).crash()

    context.answer = _run(context, lambda: _answer_until(context, wanted, after, crash))


@when("a caller streams an answer of {tokens:d} tokens and the first upstream dies after {after:d}")
def stream_scripted_death(context, tokens, after):
    context.script.dies_after = after
    wanted = request(output_tokens=tokens)
    context.answer = _run(context, lambda: context.router.answer(wanted))


@when("a caller streams an answer of {tokens:d} tokens and leaves after {after:d}")
def stream_and_leave(context, tokens, after):
    wanted = request(output_tokens=tokens)

    async def work():
        answer = await _answer_until(context, wanted, after, lambda answer: True)
        await asyncio.sleep(30)
        return answer

    context.answer = _run(context, work)


@when("a caller reads one chunk a second of an answer of {tokens:d} tokens")
def read_slowly(context, tokens):
    async def work():
        answer = Answer(request(output_tokens=tokens))
        context.most_held = 0
        events = context.router.open(answer.request, answer.result, answer.dispatches)
        async for event in events:
            answer.events.append(event)
            received = sum(e.tokens for e in answer.events if isinstance(e, Chunk))
            read = len(context.log.reads)
            context.most_held = max(context.most_held, read - len(answer.events))
            assert received or isinstance(event, Finished)
            await asyncio.sleep(1)
        return answer

    context.answer = _run(context, work)


@when("a caller stops reading an answer of {tokens:d} tokens for {seconds:d} seconds")
def stop_reading(context, tokens, seconds):
    async def work():
        answer = Answer(request(output_tokens=tokens))
        events = context.router.open(answer.request, answer.result, answer.dispatches)
        answer.events.append(await anext(events))
        await asyncio.sleep(seconds)
        async for event in events:
            answer.events.append(event)
        return answer

    context.answer = _run(context, work)


@when("the dispatch hook refuses a request")
def refuse_dispatch(context):
    async def work():
        answer = Answer(request())

        async def refuse(upstream, attempt):
            return Failed(RefusalReason.BILLING_UNREACHABLE, NotRun(NotRunProof.NEVER_SENT))

        async for event in context.router.streams.run(answer.request, 100, refuse, answer.result):
            answer.events.append(event)
        return answer

    context.answer = _run(context, work)


@when("two workspaces stream answers under one identifier")
def stream_same_identifier(context):
    wanted = [request(workspace=name, output_tokens=40) for name in ("choir", "club")]

    async def work():
        return await asyncio.gather(*(context.router.answer(each) for each in wanted))

    context.answers = _run(context, work)


@when("{count:d} callers stream answers at once, every third one non-idempotent")
def stream_many(context, count):
    wanted = [
        request(f"r{number}", output_tokens=10 + number, idempotent=number % 3 > 0)
        for number in range(count)
    ]

    async def work():
        return await asyncio.gather(*(context.router.answer(each) for each in wanted))

    context.answers = _run(context, work)


@then("the caller has the whole answer")
def check_whole(context):
    expected = getattr(context, "expected_text", None) or expected_output(context.answer.request)
    assert isinstance(context.answer.last, Finished), context.answer.last
    assert context.answer.text == expected, context.answer.text
    assert context.answer.result.finished


@then("the answer was resumed {count:d} time")
def check_resumes(context, count):
    assert context.answer.result.resumes == count, context.answer.result


@then("the engines ran the request {count:d} time")
@then("the engines ran the request {count:d} times")
def check_runs(context, count):
    assert len(context.site.runs()) == count, context.site.runs()


@then("no event of connection {first:d} was read after connection {second:d} began")
def check_no_late_reads(context, first, second):
    reads = context.log.reads
    assert second in reads
    assert first not in reads[reads.index(second) :], reads


@then("{count:d} duplicate chunk was dropped")
def check_duplicates(context, count):
    assert context.router.streams.counters.duplicate_chunks == count


@then("the use of {count:d} attempt is unknown")
def check_unknown_use(context, count):
    unknown = [attempt for attempt in context.answer.result.possible_runs if attempt.tokens is None]
    assert len(unknown) == count, context.answer.result


@then("the caller has the first {count:d} tokens of the first text only")
def check_first_text(context, count):
    upstream = context.answer.dispatches[0][0]
    words = context.script.words_by_upstream[upstream]
    assert context.answer.text == "".join(words[:count]), context.answer.text


@then("the answer failed with {reason} and the outcome is unknown")
def check_failed_unknown(context, reason):
    last = context.answer.last
    assert isinstance(last, Failed), last
    assert (last.reason.value, last.outcome) == (reason, Unknown()), last


@then("the answer failed and the outcome is not run, never sent")
def check_failed_not_run(context):
    last = context.answer.last
    assert isinstance(last, Failed), last
    assert last.outcome == NotRun(NotRunProof.NEVER_SENT), last
    assert context.answer.result.outcome == last.outcome
    assert context.answer.result.possible_runs == []


@then("the engine has stopped the run")
def check_stopped(context):
    (run,) = context.site.runs()
    assert run.cancelled
    assert not run.finished


@then("the tokens settled are those the engine generated")
def check_settled(context):
    (run,) = context.site.runs()
    assert context.answer.result.tokens_used == run.used_tokens > 0


@then("the router never held more than {count:d} chunks")
def check_held(context, count):
    assert 1 < context.most_held <= count, context.most_held


@then("each has the whole answer to its own request")
def check_own_answers(context):
    texts = [answer.text for answer in context.answers]
    assert texts == [expected_output(answer.request) for answer in context.answers]
    assert texts[0] != texts[1]


@then("every finished answer is whole and every failed one a prefix of it")
def check_prefixes(context):
    for answer in context.answers:
        received = sum(event.tokens for event in answer.events if isinstance(event, Chunk))
        assert answer.text == expected_chunk(answer.request, 0, received), answer
        if isinstance(answer.last, Finished):
            assert answer.text == expected_output(answer.request), answer


@then("at least {count:d} answers finished")
def check_many_finished(context, count):
    finished = [answer for answer in context.answers if isinstance(answer.last, Finished)]
    assert len(finished) >= count, [answer.last for answer in context.answers]


@then("no non-idempotent request ran twice")
def check_single_runs(context):
    for answer in context.answers:
        if answer.request.idempotent:
            continue
        runs = [r for r in context.site.runs() if r.request_id == answer.request.request_id]
        assert len(runs) <= 1, runs
