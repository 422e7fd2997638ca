"""Client accounts: keys, fair order between accounts, and quotas."""
