"""Applies the client accounts of the known configuration to requests."""

import math

from shallotyard_direct.accounts.authentication import ConfigurationReads
from shallotyard_direct.accounts.authentication import find_access


class Access:
    """Which requests the known configuration allows.

    :param settings: the `DirectSettings`.
    :param directory: the `Directory`.
    :param get_fresh_at: function to the time at which the copy of the store's objects
        was last known to be current, in seconds.
    """

    def __init__(self, settings, directory, get_fresh_at=lambda: -math.inf):
        self.settings = settings
        self.directory = directory
        self.get_fresh_at = get_fresh_at
        self.reads = ConfigurationReads()
        # Requests whose key is unknown, until the configuration has been read.
        self.unauthenticated = []

    def has_accounts(self):
        """Return whether the known configuration lists client accounts."""
        configuration = self.directory.configuration
        return configuration is not None and configuration.has_accounts

    def compute_copy_age(self, now):
        """Return the time since the configuration was known to be current, in
        seconds.
        """
        return now - max(self.get_fresh_at(), self.reads.confirmed_at)

    def apply(self, pending, now):
        """Find the client account of a request whose route is known.

        :return: the `Refusal` of the request, None if it may be served.
        """
        pending.account, refusal = self._find(pending, now)
        if self.has_accounts():
            pending.request.withheld_headers = []
        return refusal

    def _find(self, pending, now):
        return find_access(
            self.directory.configuration,
            pending.route,
            pending.request.key_digest,
            self.compute_copy_age(now),
            self.settings,
        )

    def is_still_authorized(self, attempt, now):
        """Return whether the request of an attempt may be sent as it was encoded."""
        account, refusal = self._find(attempt.pending, now)
        return (
            refusal is None
            and self.has_accounts() == attempt.has_accounts
            and (account.account_id if account else "") == attempt.account_id
        )

    def describe(self, pending):
        """Return the log field of a request's account, if accounts are configured."""
        if not self.has_accounts():
            return {}
        return {"account": pending.account.label if pending.account else ""}
