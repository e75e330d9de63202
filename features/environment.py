"""Hooks and fixtures shared by all features."""

import logging
from pathlib import Path

import structlog

LOG_FILE = Path("target/test-logs.txt")
"""Where log lines go that no scenario reads, so that the report shows scenarios only."""


def before_all(context):
    """Send the log lines of the parts under test to a file."""
    LOG_FILE.parent.mkdir(exist_ok=True)
    context.log_file = LOG_FILE.open("w", encoding="utf-8")
    structlog.configure(logger_factory=structlog.PrintLoggerFactory(context.log_file))
    # The server notes each answer that a scenario breaks off on purpose.
    server = logging.getLogger("uvicorn.error")
    server.addHandler(logging.StreamHandler(context.log_file))
    server.propagate = False


def after_all(context):
    """Close the file."""
    structlog.reset_defaults()
    context.log_file.close()
