"""How a daemon treats its memory."""

import gc

YOUNG_OBJECTS = 10_000  #: new objects between two walks of the youngest; 700 by default


def spare_collector() -> None:
    """Keep what was built at the start out of the garbage collector's walks.

    A walk of the oldest generation goes over every object of the imported modules, and all
    calls wait for it.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(YOUNG_OBJECTS)
