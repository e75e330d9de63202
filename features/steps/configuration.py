"""Steps for the configuration."""

import asyncio
from dataclasses import replace

import msgspec
from behave import given, step, then, when
from fixtures_configuration import FaultyRun
from returns.result import Failure, Success

from quinceferry_core.changes import LogEntry, PutWorkspace
from quinceferry_core.configuration import ChangeState, ConfigurationState
from quinceferry_core.exceptions import KvUnavailableError
from quinceferry_core.membership import IncarnationRecord, incarnation_key
from quinceferry_core.models import WorkspaceSpec
from quinceferryd.configuration_log import LOG_PREFIX, ConfigurationLog, decode_entry, log_key

FOREVER_SECONDS = 1e6


async def put_workspace(context, vm, workspace, expected, operation, key_hash="aa"):
    router = context.fleet.routers_by_vm[vm]
    change = PutWorkspace(WorkspaceSpec(workspace, key_hashes=(key_hash,)))
    fingerprint = f"{workspace}/{key_hash}"
    try:
        return await router.configuration.propose(change, expected, operation, fingerprint)
    except KvUnavailableError as error:
        return error


@step(
    'an operator at "{vm}" puts workspace "{workspace}" expecting revision {expected:d} '
    'as operation "{operation}"'
)
def put_one(context, vm, workspace, expected, operation):
    answer = context.fleet.run(put_workspace(context, vm, workspace, expected, operation))
    context.answers = [*getattr(context, "answers", []), answer]


@given('workspace "{workspace}" exists at revision {revision:d}')
def create_workspace(context, workspace, revision):
    work = put_workspace(context, "vm-1", workspace, 0, f"op-{workspace}")
    answer = context.fleet.run(work)
    assert answer.unwrap().revision == revision, answer
    context.fleet.advance(5)


def propose_at_once(context, *proposals):
    async def gather():
        return await asyncio.gather(*(put_workspace(context, *args) for args in proposals))

    context.answers = context.fleet.run(gather())


@when('operators at "{first}" and "{second}" change "{name}" at once, both expecting revision 1')
def race(context, first, second, name):
    propose_at_once(
        context, (first, name, 1, "op-first", "bb"), (second, name, 1, "op-second", "cc")
    )


@when('operators at "{first}" and "{second}" create "{one}" and "{other}" at once')
def create_two(context, first, second, one, other):
    propose_at_once(context, (first, one, 0, "op-one"), (second, other, 0, "op-other"))


@when('operators at "{first}" and "{second}" create "{name}" at once under one operation id')
def create_once(context, first, second, name):
    propose_at_once(context, (first, name, 0, "op-same"), (second, name, 0, "op-same"))


@then("one change is made and the other operator is told which operation came between")
def check_race(context):
    made = [answer for answer in context.answers if isinstance(answer, Success)]
    lost = [answer for answer in context.answers if isinstance(answer, Failure)]
    assert len(made) == len(lost) == 1, context.answers
    winner = "op-first" if context.answers[0] is made[0] else "op-second"
    conflict = lost[0].failure()
    assert conflict.changed_by == (winner,), conflict
    assert conflict.revision == 2, conflict


@then("both answers name revision {revision:d}")
def check_answers(context, revision):
    revisions = [answer.unwrap().revision for answer in context.answers[-2:]]
    assert revisions == [revision, revision], revisions


@then('the change is refused as "{reason}"')
def check_refusal(context, reason):
    assert context.answers[-1].failure().reason.value == reason, context.answers


@then("the change ends without an answer")
def check_no_answer(context):
    assert isinstance(context.answers[-1], KvUnavailableError), context.answers


@given('the next write below "{prefix}" loses its answer')
def lose_next(context, prefix):
    context.fleet.kv.faults.key_prefix = prefix
    context.fleet.kv.faults.lose_next = 1


@given('all writes of "{vm}" below "{prefix}" lose their answers')
def lose_all(context, vm, prefix):
    faults = context.fleet.routers_by_vm[vm].kv.faults
    faults.key_prefix = prefix
    faults.lose_probability = 1.0


@given("the key-value service is out")
def begin_outage(context):
    context.fleet.kv.faults.outage = True


@given('watches of router "{vm}" never answer')
def silence_watches(context, vm):
    async def wait_forever(prefix, cursor, timeout_seconds):
        await context.fleet.clock.sleep(FOREVER_SECONDS)

    context.fleet.routers_by_vm[vm].kv.watch = wait_forever
    # The watches that already wait end with the next change; they must not see the tested one.
    context.fleet.advance(130)


@when("the key-value service forgets its history")
def forget_history(context):
    context.fleet.kv.forget_history()


@then("the log ends at revision {revision:d}")
def check_log_end(context, revision):
    entries = context.fleet.run(context.fleet.kv.list(LOG_PREFIX))
    assert entries[-1].key == log_key(revision), [entry.key for entry in entries]


@then("the log starts above revision {revision:d}")
def check_log_start(context, revision):
    entries = context.fleet.run(context.fleet.kv.list(LOG_PREFIX))
    assert entries[0].key > log_key(revision), entries[0].key


@then("every router applies and reports revision {revision:d} as accepted")
def check_accepted_everywhere(context, revision):
    for vm, router in context.fleet.routers_by_vm.items():
        shown = (router.applied, router.blackboard.accepted_revision)
        assert shown == (revision, revision), (vm, shown)


@then('every router knows workspace "{workspace}"')
def check_workspace(context, workspace):
    for vm, router in context.fleet.routers_by_vm.items():
        assert workspace in router.blackboard.configuration.workspaces_by_id, vm


@then('router "{vm}" applies revision {revision:d}')
def check_applied(context, vm, revision):
    applied = context.fleet.routers_by_vm[vm].applied
    assert applied == revision, applied


def read_status(context, revision):
    return context.fleet.run(context.fleet.routers_by_vm["vm-1"].configuration.status(revision))


@then('revision {revision:d} is proposed and awaits "{vm}" as "{reason}"')
def check_awaited(context, revision, vm, reason):
    status = read_status(context, revision)
    assert status.state is ChangeState.PROPOSED, status
    awaited = [(router.vm, router.reason.value) for router in status.awaited]
    assert awaited == [(vm, reason)], status


@then("revision {revision:d} is accepted")
def check_accepted(context, revision):
    status = read_status(context, revision)
    assert status.state is ChangeState.ACCEPTED, status


@step('{count:d} changes are made at "{vm}"')
def make_changes(context, count, vm):
    async def make():
        router = context.fleet.routers_by_vm[vm]
        for _ in range(count):
            number = router.applied + 1
            answer = await put_workspace(
                context, vm, f"ws-{number % 50}", router.applied, f"op-{number}", f"{number:04x}"
            )
            assert isinstance(answer, Success), answer

    context.fleet.run(make())


@when('router "{vm}" is paused and reconnected')
def pause_and_reconnect(context, vm):
    router = context.fleet.routers_by_vm[vm]
    router.clock.pause()
    router.kv.faults.outage = False


@when('the VM list and the records say that router "{vm}" has confirmed everything')
def confirm_for(context, vm):
    """Let the log move on past a router that would otherwise hold up every acceptance."""
    context.fleet.run(overwrite_confirmation(context.fleet, vm))


async def overwrite_confirmation(fleet, vm):
    entry = await fleet.kv.get(incarnation_key(fleet.routers_by_vm[vm].incarnation))
    record = msgspec.json.decode(entry.value, type=IncarnationRecord)
    value = msgspec.json.encode(replace(record, applied_revision=10_000))
    await fleet.kv.put_if(entry.key, value, entry.version)


@then("every router holds the same configuration")
def check_same(context):
    configurations = [r.blackboard.configuration for r in context.fleet.routers_by_vm.values()]
    assert all(other == configurations[0] for other in configurations)
    assert len(configurations[0].workspaces_by_id) == 50


@when("an entry for revision {revision:d} is written by a router that lags")
def append_late(context, revision):
    change = PutWorkspace(WorkspaceSpec("late"))
    entry = LogEntry(revision, "op-late", change, "vm-9-9")
    context.appended = context.fleet.run(ConfigurationLog(context.fleet.kv).append(entry))


@then("the append reports that the log has moved on")
def check_not_appended(context):
    assert context.appended is False


@then("revision {revision:d} is not in the log")
def check_not_in_log(context, revision):
    assert context.fleet.run(context.fleet.kv.get(log_key(revision))) is None


@when(
    "faults drawn from seed {seed:d} strike for {seconds:d} fleet seconds "
    "while operators change workspaces"
)
def strike(context, seed, seconds):
    context.faulty_run = FaultyRun(context.fleet, seed)
    context.fleet.run(context.faulty_run.run(seconds))


@then("no accepted revision was missing at a router that may serve")
def check_never_missing(context):
    assert not context.faulty_run.missing, context.faulty_run.missing[:3]
    assert context.faulty_run.accepted_seen > 0


@then("no router ever went back")
def check_never_back(context):
    assert not context.faulty_run.reverted, context.faulty_run.reverted[:3]


@then("after healing every router applies and reports the last revision as accepted")
def check_converged(context):
    context.fleet.run(context.faulty_run.heal())
    last = context.fleet.routers_by_vm["vm-1"].applied
    check_accepted_everywhere(context, last)
    assert last >= context.faulty_run.accepted_seen
    replayed = ConfigurationState()
    for entry in context.fleet.run(context.fleet.kv.list(LOG_PREFIX)):
        replayed.apply(decode_entry(entry))
    for vm, router in context.fleet.routers_by_vm.items():
        assert router.blackboard.configuration == replayed.configuration, vm


@when('an operator at "{at}" declares "{vm}" gone')
def declare_gone(context, at, vm):
    operators = context.fleet.routers_by_vm[at].operators
    incarnation = context.first_incarnations_by_vm[vm]
    context.declaration = context.fleet.run(operators.declare_gone(incarnation))


@then("the declaration is refused")
def check_declaration_refused(context):
    assert isinstance(context.declaration, Failure), context.declaration


@when("a router is given an entry that it has applied before, and one that skips a revision")
def apply_out_of_order(context):
    state = ConfigurationState()
    change = PutWorkspace(WorkspaceSpec("choir"))
    context.applied = [
        state.apply(LogEntry(revision, f"op-{index}", change, "vm-1-1"))
        for index, revision in enumerate((1, 2, 1, 2, 4))
    ]
    context.state = state


@then("neither changes its configuration")
def check_out_of_order(context):
    assert context.applied == [True, True, False, False, False], context.applied
    assert context.state.revision == 2
