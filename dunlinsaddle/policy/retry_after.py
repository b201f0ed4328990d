"""When a refused caller should come back."""

SHORTEST = 1.0  #: seconds; about the time in which a queue has moved
LONGEST = 30.0  #: seconds; by judgement
SPREAD = 0.5  #: share of the time over which those refused together come back
_GOLDEN = 0.6180339887498949


def retry_after(excess: float, ticket: int) -> float:
    """Give seconds that grow with the excess (demand over capacity), spread by the ticket."""
    return apply_jitter(min(SHORTEST * max(excess, 1.0), LONGEST), ticket)


def apply_jitter(seconds: float, ticket: int) -> float:
    """Give a time within a quarter of ``seconds``, another one for each ticket.

    Callers refused together would come back together. Multiples of the golden ratio spread
    consecutive tickets evenly, so that no randomness is needed.
    """
    return seconds * (1 - SPREAD / 2 + SPREAD * (ticket * _GOLDEN % 1.0))
