"""Settings of an instance that dispatches directly."""

from dataclasses import dataclass

# Defaults of the bounds within which quotas of client accounts are kept.
QUOTA_WINDOW_S = 5.0
QUOTA_OVERAGE = 0.1
QUOTA_SLACK = 20.0


@dataclass(slots=True, frozen=True)
class DirectSettings:
    """Validated settings.

    :param instance: id of this instance.
    :param domain: its failure domain.
    :param region_by_domain: region of every failure domain.
    :param caller_address: ``ip:port`` that serves callers.
    :param ready_address: ``ip:port`` that serves the readiness check of the load
        balancer.
    :param peer_address: ``ip:port`` that serves other instances.
    :param metrics_address: ``ip:port`` that serves metrics.
    :param shutdown_s: time from the request to stop until the process is killed, in
        seconds.
    :param retry_ratio: retries per request that all instances together may send.
    :param retry_window_s: sliding window of that ratio, in seconds.
    :param cold_rate_factor: tolerated multiple of a cold upstream's rate.
    :param cold_rate_slack: requests per second tolerated in addition.
    :param max_grant_ttl_s: maximum TTL of a grant, in seconds.
    :param revoke_s: time within which a removed key of a client account is refused,
        in seconds.
    :param strict_revoke: whether requests that need a key are refused while the copy
        of the configuration is older than that.
    :param quota_window_s: length of the windows in which quotas of client accounts are
        checked, in seconds.
    :param quota_overage: fraction by which a quota may be exceeded in a window.
    :param quota_slack: requests that are tolerated in addition.
    :param memory_mb: limit of the resident memory, in millions of bytes; 0 if unknown.
    :param max_fds: limit of open descriptors, 0 if unknown.
    :param learned_limits: whether the limits and speeds of upstreams are learned; None
        for those of services whose upstreams report load.
    :param log_level: ``debug``, ``info``, ``warning`` or ``error``.
    """

    instance: str
    domain: str
    region_by_domain: dict[str, str]
    caller_address: str
    ready_address: str
    peer_address: str
    metrics_address: str
    shutdown_s: float
    retry_ratio: float
    retry_window_s: float
    cold_rate_factor: float
    cold_rate_slack: float
    max_grant_ttl_s: float
    quota_window_s: float = QUOTA_WINDOW_S
    quota_overage: float = QUOTA_OVERAGE
    quota_slack: float = QUOTA_SLACK
    log_level: str = "info"
    revoke_s: float = 5.0
    strict_revoke: bool = False
    memory_mb: float = 0.0
    max_fds: int = 0
    learned_limits: bool | None = False

    @property
    def region(self):
        """Return the region of this instance."""
        return self.region_by_domain.get(self.domain, "")
