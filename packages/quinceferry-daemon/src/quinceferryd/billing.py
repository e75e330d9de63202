"""Computes the bill of a request from its attempts."""

from dataclasses import dataclass

from quinceferryd.stream_results import StreamResult


@dataclass(slots=True, frozen=True)
class RequestBill:
    """Tokens to bill, and tokens charged to the budget without being billed.

    ``lost`` are the tokens charged but not billed. ``run`` is false if there is no evidence that an
    upstream ran the request; there is no bill in that case. ``estimated`` marks a bill whose exact
    use is unknown.
    """

    tokens: int
    lost: int
    run: bool
    estimated: bool = False


def compute_bill(result: StreamResult, token_cap: int, max_output_tokens: int) -> RequestBill:
    """Return the bill of a request whose attempts have all ended.

    Every attempt that may have run is charged, with its cap if its use is unknown. Only the last
    attempt is billed. If its use is unknown, the prompt and the delivered output are billed, or
    nothing if no output was delivered, since it may never have reached the upstream. An attempt
    that was stopped before it used a token is not billed.

    :param token_cap: maximum of prompt and output tokens of each attempt.
    :param max_output_tokens: maximum of output tokens, included in the cap.
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
