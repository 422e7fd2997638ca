"""Client accounts of a configuration."""

import hashlib
from dataclasses import dataclass

# Enough to tell the accounts of a deployment apart. A name does not leave the process.
LABEL_LENGTH = 12


@dataclass(slots=True, frozen=True)
class Account:
    """A client account.

    :param key_digests: SHA-256 digests of its keys, 64 hexadecimal digits each.
    :param priority: replaces the priority of the route; None to keep that one.
    :param rate: quota in requests per second over all instances; 0 for no limit.
    :param burst: requests above the rate, 0 if none. Without a rate it has no effect.
    :param home_regions: regions whose upstreams may serve its requests; empty for any
        region.
    """

    account_id: str
    key_digests: frozenset[str]
    priority: int | None = None
    rate: float = 0.0
    burst: float = 0.0
    home_regions: frozenset[str] = frozenset()

    @property
    def label(self):
        """Return the text that stands for its name in logs and metrics."""
        return hashlib.sha256(self.account_id.encode()).hexdigest()[:LABEL_LENGTH]


def digest_key(key):
    """Return the SHA-256 digest of a key, 64 hexadecimal digits.

    :param key: the key as bytes.
    """
    return hashlib.sha256(key).hexdigest()


def index_by_digest(accounts):
    """Return accounts by the digest of each of their keys.

    :raises ValueError: if a key belongs to two accounts.
    """
    accounts_by_digest = {}
    for account in accounts:
        for digest in account.key_digests:
            if digest in accounts_by_digest:
                # An error text contains neither the key nor the names.
                raise ValueError("validation error: a key belongs to two accounts")
            accounts_by_digest[digest] = account
    return accounts_by_digest
