"""Settings of the garbage collector."""

import gc

#: New objects between two collections of the youngest generation. Python's default is 700.
YOUNG_GENERATION_THRESHOLD = 10_000


def tune_garbage_collector() -> None:
    """Exclude the objects that exist at startup from garbage collection.

    A collection of the oldest generation traverses all objects of the imported modules, and all
    calls are delayed meanwhile.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(YOUNG_GENERATION_THRESHOLD)
