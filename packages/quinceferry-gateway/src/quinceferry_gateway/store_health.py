"""Tracks whether the store is reachable from this gateway."""

from quinceferry_gateway.blackboard import Blackboard
from quinceferry_gateway.logs import log


def record_store_answer(board: Blackboard) -> None:
    """Record that the store answered a call, and log that it is reachable again."""
    if not board.store_reachable:
        board.store_reachable = True
        log.change("store.regained")


def record_store_failure(board: Blackboard, error: Exception) -> None:
    """Record that a call to the store failed, and log that it is unreachable."""
    if board.store_reachable:
        board.store_reachable = False
        log.change("store.lost", error=str(error))
