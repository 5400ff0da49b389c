"""Settings of the C library's heap."""

from __future__ import annotations

import ctypes

# Parameters of glibc's mallopt().
_M_TRIM_THRESHOLD = -1
_M_MMAP_THRESHOLD = -3
# Larger blocks are mapped by themselves, so that freeing them returns their memory.
MMAP_THRESHOLD_BYTES = 1024 * 1024
# Free memory at the end of the heap that is kept.
TRIM_THRESHOLD_BYTES = 8 * 1024 * 1024


def return_large_blocks() -> bool:
    """Let the process return the memory of large blocks to the system as soon as they are freed.

    By default glibc raises its threshold to the size of each large block that is freed, up to 32
    MiB, and keeps twice as much free memory.

    :return: Whether the C library has these settings.
    """
    try:
        mallopt = ctypes.CDLL(None).mallopt
    except (OSError, AttributeError):
        return False
    return all(
        [
            mallopt(_M_MMAP_THRESHOLD, MMAP_THRESHOLD_BYTES),
            mallopt(_M_TRIM_THRESHOLD, TRIM_THRESHOLD_BYTES),
        ]
    )
