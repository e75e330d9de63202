"""Commands that read logs and do not call a router."""

import sys
from collections.abc import Iterator
from pathlib import Path

import click

from quinceferry.explanations import explain, read_records

EXIT_NOT_FOUND = 1


@click.command("explain")
@click.argument("request_id")
@click.argument("files", nargs=-1, type=click.Path(exists=True, dir_okay=False, path_type=Path))
def explain_request(request_id: str, files: tuple[Path, ...]) -> None:
    """Print the log lines that explain how a request ended, and the cause.

    Without FILES, the log lines of the gateways are read from standard input. Exits with 1 when no
    line belongs to the request.
    """
    records = read_records(_read_lines(files), request_id)
    explanation = explain(records, request_id)
    for line in explanation.lines:
        click.echo(line)
    click.echo(f"cause: {explanation.cause}")
    if not any(record.is_about(request_id) for record in records):
        sys.exit(EXIT_NOT_FOUND)


def _read_lines(files: tuple[Path, ...]) -> Iterator[str]:
    """Return the lines of all files, or of standard input."""
    if not files:
        yield from click.get_text_stream("stdin")
    for file in files:
        with file.open(encoding="utf-8", errors="replace") as stream:
            yield from stream
