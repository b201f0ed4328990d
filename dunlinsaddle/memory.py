"""Settings of the garbage collector and of the allocator."""

import ctypes
import gc

#: New objects between two collections of the youngest generation. Python's default is 700.
YOUNG_GENERATION_THRESHOLD = 10_000
#: Larger blocks are returned to the kernel when they are freed, and grow without a copy. By default
#: the C library raises its threshold to 32 MB as large blocks are freed, and then keeps them.
MAPPED_BLOCK_BYTES = 1 << 17
M_TRIM_THRESHOLD, M_MMAP_THRESHOLD = -1, -3  #: of ``malloc.h``


def tune_garbage_collector() -> None:
    """Exclude the objects that exist at startup from garbage collection.

    A collection of the oldest generation traverses all objects of the imported modules, and all
    calls are delayed meanwhile.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(YOUNG_GENERATION_THRESHOLD)


def tune_allocator() -> None:
    """Have the C library return freed memory to the kernel, where it is glibc."""
    try:
        mallopt = ctypes.CDLL(None).mallopt
    except (OSError, AttributeError):
        return
    mallopt(M_MMAP_THRESHOLD, MAPPED_BLOCK_BYTES)
    mallopt(M_TRIM_THRESHOLD, MAPPED_BLOCK_BYTES)
