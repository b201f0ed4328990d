"""Calculation of the Retry-After time that a refused caller is sent."""

MIN_RETRY_AFTER_SECONDS = 1.0  #: about the time in which a queue makes progress
MAX_RETRY_AFTER_SECONDS = 30.0
JITTER_SHARE = 0.5  #: width of the jitter as a share of the time
_GOLDEN_RATIO_FRACTION = 0.6180339887498949


def retry_after(excess: float, ticket: int) -> float:
    """Return seconds that grow with the excess (demand over capacity), with jitter."""
    return apply_jitter(
        min(MIN_RETRY_AFTER_SECONDS * max(excess, 1.0), MAX_RETRY_AFTER_SECONDS), ticket
    )


def apply_jitter(seconds: float, ticket: int) -> float:
    """Return a time within 25 % of ``seconds`` that differs for each ticket number.

    Callers that are refused together would otherwise retry together. Multiples of the golden
    ratio distribute consecutive ticket numbers evenly, so no randomness is needed.
    """
    return seconds * (1 - JITTER_SHARE / 2 + JITTER_SHARE * (ticket * _GOLDEN_RATIO_FRACTION % 1.0))
