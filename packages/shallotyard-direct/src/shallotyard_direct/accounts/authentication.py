"""Decides whether a request may be served by its key, and when an unknown key is looked
up in the store.
"""

import math

from shallotyard_direct.responses import Refusal

# Unknown keys cause at most one read of the configuration in this time, in seconds.
KEY_READ_PERIOD_S = 0.5
# Between two reads, a copy of at most this age answers for unknown keys.
MAX_COPY_AGE_S = 1.0
# Requests that wait for a read, with their bodies. If all of 1,000 requests a second in
# the fleet have unknown keys, an instance gets a few tens of them between two reads.
MAX_UNKNOWN_KEYS = 512


def find_access(configuration, route, key_digest, copy_age_s, settings):
    """Return the account of a request, and the reason to refuse it.

    :param key_digest: digest of its key, ``""`` if it has none.
    :param copy_age_s: time since the configuration was known to be current, in seconds.
    :param settings: the `DirectSettings`.
    :return: (`Account` or None, `Refusal` or None to serve it).
    """
    if not configuration.has_accounts:
        return None, None
    account = configuration.accounts_by_digest.get(key_digest)
    if not route.public:
        if settings.strict_revoke and copy_age_s > settings.revoke_s:
            return account, Refusal.KEYS_OUTDATED
        if account is None:
            return None, Refusal.UNAUTHORIZED
    if account is not None and _has_no_home(route, account):
        return account, Refusal.OUTSIDE_HOME
    return account, None


def _has_no_home(route, account):
    homes, own_homes = route.home_regions, account.home_regions
    return bool(homes and own_homes) and homes.isdisjoint(own_homes)


class ConfigurationReads:
    """The reads of the configuration for unknown routes and keys.

    Handles callers that send many requests with invalid keys: one read runs at a time,
    and reads for keys do not begin more often than once in `KEY_READ_PERIOD_S`.
    """

    def __init__(self):
        self.in_progress = False
        self.began_at = -math.inf
        # Beginning of the last read that the store answered.
        self.confirmed_at = -math.inf

    def begin(self, now):
        """Record that a read begins, unless one is in progress.

        :return: whether it begins.
        """
        if self.in_progress:
            return False
        self.in_progress = True
        self.began_at = now
        return True

    def end(self, store_answered):
        """Record the end of a read."""
        self.in_progress = False
        if store_answered:
            self.confirmed_at = self.began_at

    def is_due_for_keys(self, now):
        """Return whether a read for unknown keys may begin."""
        return not self.in_progress and now >= self.began_at + KEY_READ_PERIOD_S

    def answers_for(self, arrived_at):
        """Return whether the last read shows the configuration at the arrival of a
        request, or not much before.
        """
        return arrived_at <= self.began_at + MAX_COPY_AGE_S
