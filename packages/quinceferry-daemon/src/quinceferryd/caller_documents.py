"""JSON documents returned to callers, other than answers and errors."""

import msgspec

from quinceferry_core.models import Usage
from quinceferry_core.outcomes import NotRun, Outcome, Run
from quinceferryd.refusals import outcome_label


class OutcomeDocument(msgspec.Struct, frozen=True, omit_defaults=True):
    """Outcome of a request: whether it ran, with the proof or the usage."""

    request_id: str
    outcome: str
    proof: str = ""
    usage: Usage | None = None


class AddressDocument(msgspec.Struct, frozen=True):
    """Router addresses, their validity, and the ticket for non-idempotent requests."""

    addresses: tuple[str, ...]
    ttl_seconds: float
    ticket: str


class ModelDocument(msgspec.Struct, frozen=True):
    """A model that a workspace may use."""

    id: str
    object: str = "model"
    created: int = 0
    owned_by: str = "quinceferry"


class ModelListDocument(msgspec.Struct, frozen=True):
    """List of the models that a workspace may use."""

    data: list[ModelDocument]
    object: str = "list"


def outcome_document(request_id: str, outcome: Outcome) -> OutcomeDocument:
    """Return the document that describes an outcome to a caller."""
    return OutcomeDocument(
        request_id,
        outcome_label(outcome),
        proof=outcome.proof.value if isinstance(outcome, NotRun) else "",
        usage=outcome.usage if isinstance(outcome, Run) else None,
    )
