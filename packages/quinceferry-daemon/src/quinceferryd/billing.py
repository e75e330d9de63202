"""Turns the attempts of one request into its bill."""

from dataclasses import dataclass

from quinceferryd.stream_results import StreamResult


@dataclass(slots=True, frozen=True)
class RequestBill:
    """Tokens to bill, and tokens charged to the budget without a bill.

    ``run`` is false when nothing shows that an upstream ran the request; there is no bill then.
    """

    tokens: int
    lost: int
    run: bool
    estimated: bool = False


def compute_bill(result: StreamResult, token_cap: int, max_output_tokens: int) -> RequestBill:
    """Work out the bill of a request whose attempts have all ended.

    Every attempt that may have run is charged, with its cap if its use is not known. Only the last
    one is billed. A last attempt of unknown use is billed for the prompt and what was delivered,
    and not at all if nothing was: it may never have reached the upstream. One that was stopped
    before it used a token is not billed either.

    :param token_cap: bound on prompt and output of each attempt.
    :param max_output_tokens: bound on the output, a part of the cap.
    """
    used_tokens = [attempt.tokens for attempt in result.possible_runs]
    charged_tokens = sum(
        token_cap if tokens is None else min(tokens, token_cap) for tokens in used_tokens
    )
    if not used_tokens:
        return RequestBill(0, 0, run=False)
    last_use = used_tokens[-1]
    if last_use == 0 and not result.finished:
        return RequestBill(0, charged_tokens, run=False)
    if last_use is not None:
        billed_tokens = min(last_use, token_cap)
        return RequestBill(billed_tokens, charged_tokens - billed_tokens, run=True)
    if result.delivered_tokens == 0:
        return RequestBill(0, charged_tokens, run=False)
    billed_tokens = min(token_cap, token_cap - max_output_tokens + result.delivered_tokens)
    return RequestBill(billed_tokens, charged_tokens - billed_tokens, run=True, estimated=True)
