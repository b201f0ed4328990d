"""How a daemon treats its memory."""

import gc

#: New objects between two collections of the youngest generation. Python's default is 700.
YOUNG_GENERATION_THRESHOLD = 10_000


def tune_garbage_collector() -> None:
    """Keep what was built at the start out of the garbage collector's walks.

    A walk of the oldest generation goes over every object of the imported modules, and all
    calls wait for it.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(YOUNG_GENERATION_THRESHOLD)
