"""Runs seeded histories under faults and prints what they came to: ``make history SEEDS=20``."""

import hashlib
import logging
import multiprocessing
import os
import sys
import time
from collections import Counter
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor, as_completed
from dataclasses import dataclass, replace
from typing import Any

import click
import structlog

from quinceferry_core.outcomes import RefusalReason
from quinceferry_lab.defects import DEFECTS_BY_NAME
from quinceferry_lab.explanations import account_of
from quinceferry_lab.fault_schedules import DRAWS_BY_NAME
from quinceferry_lab.histories import History
from quinceferry_lab.refusal_counts import RefusalCount, RefusalKind
from quinceferry_lab.trials import SHORT_PLAN, TrialPlan, TrialResult, run_trial
from quinceferry_lab.violations import Violation

MAX_WORKERS = 8
HASH_SEED = "0"
MAX_ACCOUNTS = 5
"""Failing seeds whose account is printed."""


@dataclass(slots=True, frozen=True)
class Job:
    """One seed to run."""

    seed: int
    plan: TrialPlan
    defect: str = ""


@dataclass(slots=True, frozen=True)
class Summary:
    """What a worker reports of one seed; equal fingerprints mean equal histories."""

    seed: int
    violations: tuple[Violation, ...]
    account: str
    requests: int
    answered: int
    runs: int
    refusals: RefusalCount
    ends: dict[str, int]
    internal_errors: int
    real_seconds: float
    crash: str = ""
    defect: str = ""
    fingerprint: str = ""


def run_job(job: Job) -> Summary:
    """Run one seed; errors of the run itself count as a failure."""
    started = time.perf_counter()
    defect = DEFECTS_BY_NAME[job.defect].apply() if job.defect else None
    try:
        result = run_trial(job.seed, job.plan, defect)
    except Exception as error:
        seconds = time.perf_counter() - started
        return Summary(
            job.seed, (), "", 0, 0, 0, RefusalCount(0, Counter()), {}, 0, seconds, repr(error)
        )
    summary = _summary(result, time.perf_counter() - started)
    return replace(summary, defect=job.defect, fingerprint=_fingerprint(result.history))


def _fingerprint(history: History) -> str:
    """Return a digest of everything that the callers saw and the upstreams ran."""
    attempts = [(one.key, one.sent_at, one.ended_at, one.text) for one in history.attempts]
    runs = [(one.upstream, one.received_at, one.used_tokens) for one in history.runs]
    return hashlib.sha256(repr((attempts, runs)).encode()).hexdigest()


def _silence_logs() -> None:
    """Drop the log lines of the routers."""
    level = structlog.make_filtering_bound_logger(logging.CRITICAL)
    structlog.configure(wrapper_class=level)


def _summary(result: TrialResult, seconds: float) -> Summary:
    """Shorten a result for the table."""
    errors = sum("internal error" in note.text for note in result.history.notes)
    errors += result.ends[RefusalReason.INTERNAL.value]
    account = account_of(result.history, result.violations[0]) if result.violations else ""
    return Summary(
        result.seed,
        tuple(result.violations),
        account,
        result.refusals.asked,
        result.ends["answered"],
        len(result.history.runs),
        result.refusals,
        dict(result.ends),
        errors,
        seconds,
    )


def run_jobs(jobs: list[Job], workers: int) -> Iterator[tuple[Job, Summary]]:
    """Run seeds in several processes and return each with its job, as it ends.

    The order of sets of strings must not differ from process to process, or a seed could not be
    replayed; so the workers are new interpreters with a fixed hash seed.
    """
    os.environ["PYTHONHASHSEED"] = HASH_SEED
    workers = min(workers, MAX_WORKERS, len(jobs))
    context = multiprocessing.get_context("spawn")
    with ProcessPoolExecutor(workers, mp_context=context, initializer=_silence_logs) as pool:
        jobs_by_future = {pool.submit(run_job, job): job for job in jobs}
        for done in as_completed(jobs_by_future):
            yield jobs_by_future[done], done.result()


@click.command()
@click.option("--seeds", default=20, help="How many seeds to run.")
@click.option("--first", default=1, help="The first of them.")
@click.option("--seed", default=None, type=int, help="Run this seed alone.")
@click.option("--defect", default="", type=click.Choice(["", *DEFECTS_BY_NAME]))
@click.option("--faults", default="", help="Kinds of faults, separated by commas.")
@click.option("--short", is_flag=True, help="Shorter runs, without the recovery of dead routers.")
@click.option("--workers", default=MAX_WORKERS, help="Processes at once, at most 8.")
def main(
    seeds: int,
    first: int,
    seed: int | None,
    defect: str,
    faults: str,
    short: bool,
    workers: int,
) -> None:
    """Check histories of concurrent runs under faults."""
    names = tuple(name for name in faults.split(",") if name)
    unknown = set(names) - set(DRAWS_BY_NAME)
    if unknown:
        raise click.BadParameter(f"{unknown}: not among {sorted(DRAWS_BY_NAME)}")
    chosen = [seed] if seed is not None else range(first, first + seeds)
    plan = replace(SHORT_PLAN if short else TrialPlan(), fault_names=names)
    jobs = [Job(one, plan, defect) for one in chosen]
    summaries = []
    print("seed  requests  answered  runs  falsely refused  errors  seconds  verdict")
    for _, summary in run_jobs(jobs, workers):
        summaries.append(summary)
        print(_line(summary), flush=True)
    failed = [one for one in summaries if one.violations or one.crash]
    for summary in sorted(failed, key=lambda one: one.seed)[:MAX_ACCOUNTS]:
        _print_failure(summary, _options(faults, defect, short))
    _print_totals(summaries, failed)
    sys.exit(1 if failed else 0)


def _line(summary: Summary) -> str:
    """Return one line of the table."""
    promises = sorted({violation.promise.value for violation in summary.violations})
    verdict = summary.crash or ", ".join(promises) or "ok"
    return (
        f"{summary.seed:4}  {summary.requests:8}  {summary.answered:8}  {summary.runs:4}  "
        f"{summary.refusals.falsely_refused:15}  {summary.internal_errors:6}  "
        f"{summary.real_seconds:7.1f}  {verdict}"
    )


def _options(faults: str, defect: str, short: bool) -> str:
    """Return the options that a replay needs."""
    options = f" --faults {faults}" if faults else ""
    options += f" --defect {defect}" if defect else ""
    return options + (" --short" if short else "")


def _print_failure(summary: Summary, options: str) -> None:
    """Print what happened in a failing seed and how to replay it."""
    print(f"\nseed {summary.seed}: {summary.crash or _count(summary)}")
    print(summary.account)
    print(f"replay: python -m quinceferry_lab.history --seed {summary.seed}{options}")


def _count(summary: Summary) -> str:
    """Return the number of violations in words."""
    return f"{len(summary.violations)} violation(s)"


def _print_totals(summaries: list[Summary], failed: list[Summary]) -> None:
    """Print the totals over all seeds."""
    requests = sum(one.requests for one in summaries)
    answered = sum(one.answered for one in summaries)
    ends: Counter[str] = Counter()
    refusals: Counter[RefusalKind] = Counter()
    for summary in summaries:
        ends.update(summary.ends)
        refusals.update(summary.refusals.counts_by_kind)
    refused = refusals.total()
    print(
        f"\n{len(summaries)} seeds, {len(failed)} failed; {requests} requests, "
        f"{answered} answered, {refused} falsely refused for budget reasons "
        f"({refused / max(1, requests):.2%})"
    )
    print("ends: " + _counts(ends))
    print("falsely refused: " + _counts(refusals))


def _counts(counts: Counter[Any]) -> str:
    """Return counts in words, the greatest first."""
    return ", ".join(f"{name} {count}" for name, count in counts.most_common()) or "none"


if __name__ == "__main__":
    main()
