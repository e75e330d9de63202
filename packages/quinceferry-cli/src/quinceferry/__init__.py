"""Client and command line of the router fleet.

>>> async with Client(["http://10.0.0.1:7700"], key) as client:
...     answer = await client.ask("ledger-large", "Which receipts lack a date?")
"""

from quinceferry.addresses import AddressAnswer
from quinceferry.client import Answer, Client, ServiceAnswer
from quinceferry.events import Piece, Usage
from quinceferry.exceptions import (
    AnswerBrokenError,
    ChangePendingError,
    OperatorCallError,
    OutcomeUnknownError,
    RefusedError,
    RequestError,
    RevisionConflictError,
    RouterUnreachableError,
)
from quinceferry.operators import OperatorClient
from quinceferry.retries import RetryPolicy

__all__ = [
    "AddressAnswer",
    "Answer",
    "AnswerBrokenError",
    "ChangePendingError",
    "Client",
    "OperatorCallError",
    "OperatorClient",
    "OutcomeUnknownError",
    "Piece",
    "RefusedError",
    "RequestError",
    "RetryPolicy",
    "RevisionConflictError",
    "RouterUnreachableError",
    "ServiceAnswer",
    "Usage",
]
