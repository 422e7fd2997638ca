"""State of the upstream stand-ins: configuration, boot, grant and faults."""

import collections
import random
import zlib
from dataclasses import dataclass
from dataclasses import field

from shallotyard_testing.utils import read_clock_ms


@dataclass(frozen=True)
class UpstreamConfig:
    """One entry of the configuration file; times in milliseconds."""

    id: str
    port: int
    service: str
    slots: int = 4
    checks_grants: bool = False
    work_ms: float = 5.0
    cold_ms: float = 0.0
    cold_slots: int = 1
    lag_ms: float = 0.0
    address: str = "127.0.0.1"
    region: str = ""
    keyed: bool = True
    cancellable: bool = True


@dataclass
class Control:
    """Faults and settings that ``POST /-/control`` changes."""

    slow_factor: float = 1.0
    refuse: bool = False
    die: bool = False
    crash_on: str = ""
    health: str = "honest"
    truncate: int = 0
    cross: int = 0
    shed: bool = False


@dataclass
class WorkItem:
    """One accepted request; times in ms of the upstream's clock."""

    request: object
    request_id: str
    slice: str
    epoch: int
    boot_id: str
    deadline: float
    start: float = 0.0
    timer: object = None


@dataclass
class Counters:
    """Counts of one upstream since the process started."""

    requests: int = 0
    committed: int = 0
    shed: int = 0
    stale: int = 0
    expired: int = 0
    cancelled: int = 0
    cold_overload: int = 0
    reused_request_ids: int = 0
    restarts: int = 0
    most_running: int = 0
    drain_arrivals: int = 0


@dataclass
class GrantTable:
    """Granted epoch and expiry, and the highest epoch seen, of each slice.

    Each call grants the slices that it names; others keep their own expiry, so
    that a holder can let one slice run out while it renews the rest.
    """

    grants_by_slice: dict = field(default_factory=dict)
    highest_epochs_by_slice: dict = field(default_factory=dict)

    def is_current(self, epochs):
        """Return whether no epoch is below one seen before.

        A lower one shows a late message of an earlier holder.

        :param epochs: epoch by slice.
        """
        highest_epochs = self.highest_epochs_by_slice
        return all(
            epoch >= highest_epochs.get(name, 0) for name, epoch in epochs.items()
        )

    def update(self, epochs, expires_at, revoked):
        """Grant some slices and revoke others.

        :param epochs: epoch by granted slice.
        :param expires_at: expiry in ms of the upstream's clock.
        :param revoked: slices that are granted no longer.
        """
        for slice_id, epoch in epochs.items():
            self.grants_by_slice[slice_id] = (epoch, expires_at)
        for slice_id in revoked:
            grant = self.grants_by_slice.pop(slice_id, None)
            if grant is not None:
                # A delayed message with that epoch must not grant it again.
                self.highest_epochs_by_slice[slice_id] = grant[0] + 1
        self.highest_epochs_by_slice.update(epochs)


class Upstream:
    """One upstream: its boot, grant, running work and faults.

    :param config: the ``UpstreamConfig``.
    :param journal: the ``Journal`` of the process.
    """

    def __init__(self, config, journal):
        self.config = config
        self.journal = journal
        self.control = Control()
        self.counters = Counters()
        self.handle = None
        self.server = None
        self.streams = set()
        self.silent_streams = set()
        self.finished_ids = collections.OrderedDict()
        self._random = random.Random(config.id)
        # Differs between upstreams, so that nobody can rely on a common clock.
        self._clock_offset_ms = zlib.crc32(config.id.encode()) % 1_000_000
        self.reported_states = collections.deque()
        self.boot()

    def boot(self):
        """Start cold with a new boot id, without grant and work."""
        self.boot_id = f"{self.config.id}-{self._random.getrandbits(48):012x}"
        self.grant_table = GrantTable()
        self.running_by_id = {}
        self.queued_by_id = collections.OrderedDict()
        self.set_state("cold" if self.config.cold_ms > 0 else "serving")
        self.is_cold_start = True

    def clock_ms(self):
        """Return the upstream's own clock in milliseconds."""
        return read_clock_ms() + self._clock_offset_ms

    def set_state(self, state):
        """Enter a state; ``cold`` ends by itself after ``cold_ms``.

        :param state: ``cold``, ``serving`` or ``draining``.
        """
        self._state = state
        self.is_cold_start = False
        self.state_since = self.clock_ms()
        self.is_overloaded = False

    def read_state(self):
        """Return the present state."""
        age = self.clock_ms() - self.state_since
        if self._state == "cold" and age >= self.config.cold_ms:
            self.set_state("serving")
        return self._state

    def read_reported_state(self):
        """Return state and load as they were ``lag_ms`` ago, or made up."""
        if self.control.health == "lying":
            return "serving", 0
        if not self.reported_states:
            return self.read_state(), self.count_open_requests()
        return self.reported_states[0][1:]

    def record_reported_state(self):
        """Remember state and load for the lagging endpoints."""
        now = self.clock_ms()
        self.reported_states.append(
            (now, self.read_state(), self.count_open_requests())
        )
        oldest = now - self.config.lag_ms
        while len(self.reported_states) > 1 and self.reported_states[1][0] <= oldest:
            self.reported_states.popleft()

    def count_open_requests(self):
        """Return the number of requests that run or wait."""
        return len(self.running_by_id) + len(self.queued_by_id)

    def is_stale(self, work):
        """Return whether the current grant does not cover a request."""
        if not self.config.checks_grants:
            return False
        epoch, expires_at = self.grant_table.grants_by_slice.get(
            work.slice, (None, 0.0)
        )
        return epoch != work.epoch or self.clock_ms() >= expires_at
