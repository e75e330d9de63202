"""Runs seeded histories under faults and prints what they came to: ``make history SEEDS=20``."""

import logging
import multiprocessing
import os
import sys
import time
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor, as_completed
from dataclasses import dataclass

import click
import structlog

from quinceferry_lab.defects import DEFECTS_BY_NAME
from quinceferry_lab.explanations import account_of
from quinceferry_lab.faults import DRAWS_BY_NAME
from quinceferry_lab.trials import TrialResult, run_trial
from quinceferry_lab.violations import Violation

MAX_WORKERS = 8
HASH_SEED = "0"
MAX_ACCOUNTS = 5
"""Failing seeds whose account is printed."""


@dataclass(slots=True, frozen=True)
class Job:
    """One seed to run."""

    seed: int
    fault_names: tuple[str, ...]
    defect: str


@dataclass(slots=True, frozen=True)
class Summary:
    """What a worker reports of one seed."""

    seed: int
    violations: tuple[Violation, ...]
    account: str
    requests: int
    answered: int
    runs: int
    falsely_refused: int
    ends: dict[str, int]
    internal_errors: int
    real_seconds: float
    crash: str = ""


def run_job(job: Job) -> Summary:
    """Run one seed; errors of the run itself count as a failure."""
    started = time.perf_counter()
    defect = DEFECTS_BY_NAME[job.defect]() if job.defect else None
    try:
        result = run_trial(job.seed, job.fault_names, defect)
    except Exception as error:
        seconds = time.perf_counter() - started
        return Summary(job.seed, (), "", 0, 0, 0, 0, {}, 0, seconds, crash=repr(error))
    return _summary(result, time.perf_counter() - started)


def _silence_logs() -> None:
    """Drop the log lines of the routers."""
    level = structlog.make_filtering_bound_logger(logging.CRITICAL)
    structlog.configure(wrapper_class=level)


def _summary(result: TrialResult, seconds: float) -> Summary:
    """Shorten a result for the table."""
    errors = sum("internal error" in note.text for note in result.history.notes)
    account = account_of(result.history, result.violations[0]) if result.violations else ""
    return Summary(
        result.seed,
        tuple(result.violations),
        account,
        result.refusals.asked,
        result.ends["answered"],
        len(result.history.runs),
        result.refusals.falsely_refused,
        dict(result.ends),
        errors,
        seconds,
    )


def run_jobs(jobs: list[Job], workers: int) -> Iterator[Summary]:
    """Run seeds in several processes and return each as it ends.

    The order of sets of strings must not differ from process to process, or a seed could not be
    replayed; so the workers are new interpreters with a fixed hash seed.
    """
    os.environ["PYTHONHASHSEED"] = HASH_SEED
    workers = min(workers, MAX_WORKERS, len(jobs))
    context = multiprocessing.get_context("spawn")
    with ProcessPoolExecutor(workers, mp_context=context, initializer=_silence_logs) as pool:
        pending = [pool.submit(run_job, job) for job in jobs]
        for done in as_completed(pending):
            yield done.result()


@click.command()
@click.option("--seeds", default=20, help="How many seeds to run.")
@click.option("--first", default=1, help="The first of them.")
@click.option("--seed", default=None, type=int, help="Run this seed alone.")
@click.option("--defect", default="", type=click.Choice(["", *DEFECTS_BY_NAME]))
@click.option("--faults", default="", help="Kinds of faults, separated by commas.")
@click.option("--workers", default=MAX_WORKERS, help="Processes at once, at most 8.")
def main(seeds: int, first: int, seed: int | None, defect: str, faults: str, workers: int) -> None:
    """Check histories of concurrent runs under faults."""
    names = tuple(name for name in faults.split(",") if name)
    unknown = set(names) - set(DRAWS_BY_NAME)
    if unknown:
        raise click.BadParameter(f"{unknown}: not among {sorted(DRAWS_BY_NAME)}")
    chosen = [seed] if seed is not None else range(first, first + seeds)
    jobs = [Job(one, names, defect) for one in chosen]
    summaries = []
    print("seed  requests  answered  runs  falsely refused  errors  seconds  verdict")
    for summary in run_jobs(jobs, workers):
        summaries.append(summary)
        print(_line(summary), flush=True)
    failed = [one for one in summaries if one.violations or one.crash]
    for summary in sorted(failed, key=lambda one: one.seed)[:MAX_ACCOUNTS]:
        _print_failure(summary, faults, defect)
    _print_totals(summaries, failed)
    sys.exit(1 if failed else 0)


def _line(summary: Summary) -> str:
    """Return one line of the table."""
    promises = sorted({violation.promise.value for violation in summary.violations})
    verdict = summary.crash or ", ".join(promises) or "ok"
    return (
        f"{summary.seed:4}  {summary.requests:8}  {summary.answered:8}  {summary.runs:4}  "
        f"{summary.falsely_refused:15}  {summary.internal_errors:6}  "
        f"{summary.real_seconds:7.1f}  {verdict}"
    )


def _print_failure(summary: Summary, faults: str, defect: str) -> None:
    """Print what happened in a failing seed and how to replay it."""
    options = f" --faults {faults}" if faults else ""
    options += f" --defect {defect}" if defect else ""
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
    refused = sum(one.falsely_refused for one in summaries)
    ends: dict[str, int] = {}
    for summary in summaries:
        for name, count in summary.ends.items():
            ends[name] = ends.get(name, 0) + count
    by_count = sorted(ends.items(), key=lambda item: -item[1])
    print(
        f"\n{len(summaries)} seeds, {len(failed)} failed; {requests} requests, "
        f"{answered} answered, {refused} falsely refused for budget reasons "
        f"({refused / max(1, requests):.2%})"
    )
    print("ends: " + ", ".join(f"{name} {count}" for name, count in by_count))


if __name__ == "__main__":
    main()
