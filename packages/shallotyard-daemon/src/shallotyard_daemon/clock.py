"""The one clock of the daemon."""

import time


def read_clock():
    """Return CLOCK_BOOTTIME in seconds.

    It goes on while the machine is suspended, so a lease cannot outlive a
    suspension.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
