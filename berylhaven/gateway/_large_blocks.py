"""Has the C library return the memory of large buffers when they are released."""

import ctypes

# From malloc.h of glibc.
M_MMAP_THRESHOLD = -3
# Larger than most bodies, and far smaller than what the account of held bytes may hold.
LARGE_BLOCK_BYTES = 262_144


def map_large_blocks() -> bool:
    """Have each large buffer mapped by itself.

    Once a mapped buffer of up to 32 MB was released, glibc takes buffers of that size
    from its heap. There, one that grows is copied and the former one stays behind as a
    gap: answers of 31 MB took 106 MB of memory, and 80 MB if they are mapped.

    Returns
    -------
    bool
        False if the C library has no such option.
    """
    try:
        set_option = ctypes.CDLL(None).mallopt
    except (OSError, AttributeError):
        return False
    return bool(set_option(M_MMAP_THRESHOLD, LARGE_BLOCK_BYTES))
