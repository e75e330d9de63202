"""Steps for requests that crash engines."""

import asyncio

import msgspec
from behave import given, then, when
from fixtures_routing import Router, request

from quinceferry_core.membership import Member
from quinceferry_core.outcomes import Failed, Finished, NotRun, NotRunProof, RefusalReason
from quinceferry_lab.virtual_time import run_virtual

COMMON_TEXT = "the policy of all requests " * 20
"""Beginning of sound and fatal prompts, longer than a block of a prefix."""
FATAL_TEXT = COMMON_TEXT + "the document that crashes engines " * 20


def run_started(router, work):
    """Run some work while a router runs."""

    async def started():
        await router.start()
        try:
            return await work()
        finally:
            await router.stop()

    return run_virtual(started())


@given('every engine crashes under the prompt "{prompt}"')
def crash_under(context, prompt):
    context.fatal = prompt
    crash_engines_under(context.router, prompt)


@given("every engine crashes under prompts that begin with a fatal text")
def crash_under_beginning(context):
    context.fatal = FATAL_TEXT
    crash_engines_under(context.router, FATAL_TEXT)


def crash_engines_under(router, prompt):
    """Have each engine of a router's site crash when it has begun a run of such a prompt."""

    def draw(dispatch):
        if dispatch.request.prompt.startswith(prompt):
            loop = asyncio.get_running_loop()
            loop.call_later(0.04, router.site.engines_by_id[dispatch.upstream.id].crash)

    for engine in router.site.engines_by_id:
        router.upstreams.link(engine).draw_fault = draw


@when('a caller sends the prompt "{prompt}" {times:d} times, each with a new identifier')
def send_again(context, prompt, times):
    async def work():
        context.answers = []
        for number in range(times):
            answer = await context.router.answer(request(f"r{number}", prompt=prompt))
            context.answers.append(answer)
        context.crashed = [item for item in context.site.engines_by_id.values() if item.down]
        context.other = await context.router.answer(request("other", prompt="hello"))
        context.told = context.router.blackboard.quarantined

    run_started(context.router, work)


@when("callers send {times:d} prompts that begin with it, all different, and others between them")
def send_different(context, times):
    async def work():
        context.answers = []
        for number in range(times):
            for other in range(2):
                sound = request(f"s{number}-{other}", prompt=f"{COMMON_TEXT} {number} {other}")
                await context.router.answer(sound)
            fatal = request(f"r{number}", prompt=f"{FATAL_TEXT} and {number}")
            context.answers.append(await context.router.answer(fatal))
        context.crashed = [item for item in context.site.engines_by_id.values() if item.down]
        context.other = await context.router.answer(request("other", prompt="hello"))

    run_started(context.router, work)


@then("at most {count:d} engines have crashed")
def then_few_crashed(context, count):
    assert len(context.crashed) <= count, len(context.crashed)


@then("{count:d} engines have crashed")
def then_engines_crashed(context, count):
    assert len(context.crashed) == count, [item.last for item in context.answers]


@then("the last request failed with {reason} and did not run")
def then_last_refused(context, reason):
    last = context.answers[-1].last
    assert isinstance(last, Failed) and last.reason.value == reason, last
    assert last.outcome == NotRun(NotRunProof.NEVER_SENT) and last.retry_after_seconds > 0, last


@then('the prompt "{prompt}" is answered')
def then_prompt_answered(context, prompt):
    assert isinstance(context.other.last, Finished), context.other.last


@when("another router takes the heartbeat record of the first")
def take_record(context):
    context.second = Router(context.site, name="r1")
    identity = context.router.blackboard.identity
    member = Member(identity.incarnation, identity.vm, "a", "address", 1, quarantined=context.told)
    stored = msgspec.json.decode(msgspec.json.encode(member), type=Member)
    context.second.blackboard.members_by_incarnation[member.incarnation] = stored


@then('the other router refuses the prompt "{prompt}" without running it')
def then_other_refuses(context, prompt):
    crash_engines_under(context.second, prompt)
    runs = len(context.site.runs())

    async def work():
        context.second.streams.crash_watch.apply_member_quarantines()
        return await context.second.answer(request("again", prompt=prompt))

    answer = run_started(context.second, work)
    assert answer.last.reason is RefusalReason.QUARANTINED, answer.last
    assert len(context.site.runs()) == runs
