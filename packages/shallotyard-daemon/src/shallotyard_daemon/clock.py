"""Clock used by all parts of the daemon."""

import time


def read_clock():
    """Return CLOCK_BOOTTIME in seconds.

    This clock advances while the machine is suspended, so leases also expire
    during a suspension.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
