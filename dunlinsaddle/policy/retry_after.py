"""Calculation of the Retry-After time of a refusal."""

MIN_RETRY_AFTER_SECONDS = 1.0  #: about the time in which a queue makes progress
MAX_RETRY_AFTER_SECONDS = 30.0
JITTER_SHARE = 0.5  #: width of the jitter as a share of the time
_GOLDEN_RATIO_FRACTION = 0.6180339887498949


def retry_after(excess: float, sequence_number: int) -> float:
    """Return a Retry-After in seconds that grows with ``excess`` (demand over capacity)."""
    return apply_jitter(
        min(MIN_RETRY_AFTER_SECONDS * max(excess, 1.0), MAX_RETRY_AFTER_SECONDS), sequence_number
    )


def apply_jitter(seconds: float, sequence_number: int) -> float:
    """Return a time within 25 % of ``seconds`` that differs for each sequence number.

    Callers that are refused together would otherwise retry together. Multiples of the golden
    ratio distribute consecutive numbers evenly, so no randomness is needed.
    """
    return seconds * (
        1 - JITTER_SHARE / 2 + JITTER_SHARE * (sequence_number * _GOLDEN_RATIO_FRACTION % 1.0)
    )
