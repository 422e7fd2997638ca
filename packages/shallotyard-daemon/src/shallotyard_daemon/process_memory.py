"""Resident memory of this process."""

import ctypes
import os

_STATM = "/proc/self/statm"
_M_MMAP_THRESHOLD = -3
_MMAP_THRESHOLD_BYTES = 131_072


def read_resident_bytes():
    """Return the resident memory of this process, 0 if the system does not tell."""
    try:
        with open(_STATM) as file:
            pages = int(file.read().split()[1])
    except (OSError, ValueError, IndexError):
        return 0
    return pages * os.sysconf("SC_PAGE_SIZE")


def return_freed_memory():
    """Let the allocator return large blocks to the system as soon as they are freed.

    glibc raises the size from which it does so to that of the largest freed block, and
    bodies then leave gaps that stay resident.
    """
    mallopt = getattr(ctypes.CDLL(None), "mallopt", None)
    if mallopt is not None:
        mallopt(_M_MMAP_THRESHOLD, _MMAP_THRESHOLD_BYTES)
