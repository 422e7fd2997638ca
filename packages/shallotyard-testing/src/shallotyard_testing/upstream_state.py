"""State of the upstream stand-ins: configuration, boot id, grants and faults."""

import collections
import random
import zlib
from dataclasses import dataclass
from dataclasses import field

from shallotyard_testing.utils import read_clock_ms


@dataclass(frozen=True)
class UpstreamConfig:
    """One entry of the configuration file.

    :param slots: number of requests that run at the same time.
    :param checks_grants: whether requests without a valid grant are refused.
    :param work_ms: execution time of a request in milliseconds.
    :param cold_ms: duration of a cold start in milliseconds.
    :param cold_slots: number of requests that a cold upstream can hold without
        being overloaded.
    :param lag_ms: age of the state and load reported, in milliseconds.
    :param cancellable: whether running requests can be cancelled.
    """

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
    """Faults and settings that ``POST /-/control`` changes.

    :param slow_factor: factor on the execution time.
    :param refuse: whether new connections are refused.
    :param die: whether the upstream is stopped and does not restart.
    :param crash_on: text; a request whose body contains it crashes the upstream.
    :param health: ``honest``, or ``lying`` to report an idle, serving upstream.
    :param truncate: number of following responses to truncate.
    :param cross: number of following responses to send with another request id.
    :param shed: whether all requests are refused as overload.
    """

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
    """One received request.

    :param deadline: time in ms of the upstream's own clock.
    :param start: start of execution, in ms of ``CLOCK_BOOTTIME``.
    :param timer: handle of the event loop that ends the execution.
    """

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
    """Granted epoch and expiry, and highest epoch received, by slice.

    Each call changes only the slices that it names. The others keep their
    expiry, so that a holder can let one grant expire while it renews the rest.
    """

    grants_by_slice: dict = field(default_factory=dict)
    highest_epochs_by_slice: dict = field(default_factory=dict)

    def is_current(self, epochs):
        """Return whether no epoch is lower than one received for the same slice.

        A lower epoch comes from a delayed message of an earlier holder.

        :param epochs: epoch by slice.
        """
        highest_epochs = self.highest_epochs_by_slice
        return all(
            epoch >= highest_epochs.get(name, 0) for name, epoch in epochs.items()
        )

    def update(self, epochs, expires_at, revoked):
        """Grant some slices and revoke others.

        :param epochs: epoch by granted slice.
        :param expires_at: expiry in ms of the upstream's own clock.
        :param revoked: slices whose grants are removed.
        """
        for slice_id, epoch in epochs.items():
            self.grants_by_slice[slice_id] = (epoch, expires_at)
        for slice_id in revoked:
            grant = self.grants_by_slice.pop(slice_id, None)
            if grant is not None:
                # A delayed message with the revoked epoch must not renew the grant.
                self.highest_epochs_by_slice[slice_id] = grant[0] + 1
        self.highest_epochs_by_slice.update(epochs)


class Upstream:
    """One upstream: its boot id, grants, open requests and faults.

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
        # Clocks differ between upstreams, so that code which assumes a common
        # clock fails.
        self._clock_offset_ms = zlib.crc32(config.id.encode()) % 1_000_000
        self.reported_states = collections.deque()
        self.boot()

    def boot(self):
        """Start with a new boot id, without grants and open requests."""
        self.boot_id = f"{self.config.id}-{self._random.getrandbits(48):012x}"
        self.grant_table = GrantTable()
        self.running_by_id = {}
        self.queued_by_id = collections.OrderedDict()
        self.set_state("cold" if self.config.cold_ms > 0 else "serving")
        self.is_cold_start = True

    def clock_ms(self):
        """Return the time of the upstream's own clock in milliseconds."""
        return read_clock_ms() + self._clock_offset_ms

    def set_state(self, state):
        """Enter a state; ``cold`` changes to ``serving`` after ``cold_ms``.

        :param state: ``cold``, ``serving`` or ``draining``.
        """
        self._state = state
        self.is_cold_start = False
        self.state_since = self.clock_ms()
        self.is_overloaded = False

    def read_state(self):
        """Return the current state, ``serving`` once a cold start is over."""
        age_ms = self.clock_ms() - self.state_since
        if self._state == "cold" and age_ms >= self.config.cold_ms:
            self.set_state("serving")
        return self._state

    def read_reported_state(self):
        """Return the state and load to report.

        :return: state and number of open requests as of ``lag_ms`` ago;
            ``("serving", 0)`` if ``health`` is ``lying``.
        """
        if self.control.health == "lying":
            return "serving", 0
        if not self.reported_states:
            return self.read_state(), self.count_open_requests()
        return self.reported_states[0][1:]

    def record_reported_state(self):
        """Record state and load for the endpoints that report them with a lag."""
        now = self.clock_ms()
        self.reported_states.append(
            (now, self.read_state(), self.count_open_requests())
        )
        oldest_ms = now - self.config.lag_ms
        while len(self.reported_states) > 1 and self.reported_states[1][0] <= oldest_ms:
            self.reported_states.popleft()

    def count_open_requests(self):
        """Return the number of running and queued requests."""
        return len(self.running_by_id) + len(self.queued_by_id)

    def is_ungranted(self, work):
        """Return whether no valid grant covers a request.

        :param work: the `WorkItem` of the request.
        """
        if not self.config.checks_grants:
            return False
        epoch, expires_at = self.grant_table.grants_by_slice.get(
            work.slice, (None, 0.0)
        )
        return epoch != work.epoch or self.clock_ms() >= expires_at
