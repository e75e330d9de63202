"""Steps for the history check with real routers.

Runs are made in a few processes at once, and shared by all scenarios, because each takes seconds.
"""

from functools import cache

from behave import then, when

from quinceferry_lab.defects import DEFECTS_BY_NAME
from quinceferry_lab.history import Job, run_jobs
from quinceferry_lab.trials import SHORT_PLAN

SEEDS = (2, 3, 1, 5, 4, 6)
"""Seeds in which defects are looked for, in this order."""
SHORT_SEEDS = (101, 102, 103, 104)
WORKERS = 8


def _run_all(jobs):
    return {(job.defect, job.seed): summary for job, summary in run_jobs(jobs, WORKERS)}


def _shows(defect, summary):
    promise = DEFECTS_BY_NAME[defect].promise
    return any(violation.promise is promise for violation in summary.violations)


@cache
def _defect_runs():
    """Run each defect, seed after seed, until one shows it."""
    found, missing = {}, set(DEFECTS_BY_NAME)
    for seed in SEEDS:
        jobs = [Job(seed, DEFECTS_BY_NAME[name].plan, name) for name in sorted(missing)]
        runs = _run_all(jobs)
        found |= {name: runs[name, seed] for name in missing if _shows(name, runs[name, seed])}
        missing -= set(found)
        if not missing:
            break
    return found


@cache
def _control_runs():
    """Run the seeds that showed a defect once more without it."""
    jobs = {name: Job(run.seed, DEFECTS_BY_NAME[name].plan) for name, run in _defect_runs().items()}
    distinct = list(dict.fromkeys(jobs.values()))
    summaries = dict(run_jobs(distinct, WORKERS))
    return {name: summaries[job] for name, job in jobs.items()}


@cache
def _short_runs():
    jobs = [Job(seed, SHORT_PLAN) for seed in (*SHORT_SEEDS, SHORT_SEEDS[0])]
    return [summary for _, summary in run_jobs(jobs, WORKERS)]


@when("the history check runs seed {seed:d} for a short time")
def run_short(context, seed):
    context.summary = next(run for run in _short_runs() if run.seed == seed)


@then("it reports no violation")
def check_no_violation(context):
    assert not context.summary.crash, context.summary.crash
    assert not context.summary.violations, context.summary.account


@then("it served at least {count:d} requests")
def check_served(context, count):
    assert context.summary.answered >= count, context.summary


@when("the history check runs with the defect {defect}")
def run_defect(context, defect):
    context.defect = defect
    context.summary = _defect_runs().get(defect)


@then("some seed reports the violation that the defect causes")
def check_found(context):
    assert context.summary is not None, f"no seed of {SEEDS} shows {context.defect}"


@then("without the defect that seed reports none")
def check_control(context):
    control = _control_runs()[context.defect]
    assert not control.crash, control.crash
    assert not control.violations, control.account


@when("the history check runs seed {seed:d} for a short time, twice")
def run_twice(context, seed):
    context.summaries = [run for run in _short_runs() if run.seed == seed]


@then("both runs recorded the same")
def check_same(context):
    first, second = context.summaries
    assert first.fingerprint == second.fingerprint, (first, second)


@then("its account names the faults, the workspace and the violation")
def check_account(context):
    account = context.summary.account
    for words in ("fault: ", context.summary.violations[0].workspace, "VIOLATED"):
        assert words in account, account
