"""Headers that carry keys or names of client accounts."""

import re

from shallotyard_direct.accounts.model import digest_key

ACCOUNT_HEADER = "Shallotyard-Tenant"
_WITHHELD_NAMES = frozenset({"authorization", ACCOUNT_HEADER.lower()})
# A key has no space, so that two credentials in one line are not taken for a key.
_CREDENTIAL = re.compile(r"[ \t]*token[ \t]+([^ \t]+)[ \t]*", re.IGNORECASE | re.ASCII)


def is_withheld(name):
    """Return whether a header may carry a key, or the name of an account.

    :param name: name of the header, in any case.
    """
    # Gateways of upstreams may take an underscore for a hyphen.
    return name.strip().lower().replace("_", "-") in _WITHHELD_NAMES


def split_headers(headers):
    """Return the (name, value) pairs that may always be forwarded, and those that are
    forwarded only if no accounts are configured.
    """
    forwarded, withheld = [], []
    for header in headers:
        (withheld if is_withheld(header[0]) else forwarded).append(header)
    return forwarded, withheld


def find_key_digest(headers):
    """Return the digest of the key in the headers of a request, ``""`` without one.
    Several credentials are none, as an upstream or a proxy may have read another one.

    :param headers: (name, value) pairs; values are decoded as Latin-1.
    """
    values = [value for name, value in headers if name.lower() == "authorization"]
    match = _CREDENTIAL.fullmatch(values[0]) if len(values) == 1 else None
    if match is None:
        return ""
    return digest_key(match[1].encode("latin-1", "replace"))
