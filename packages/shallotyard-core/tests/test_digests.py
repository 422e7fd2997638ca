from shallotyard_core.digests import identity_digest
from shallotyard_core.digests import request_fingerprint


def test_digests_distinguish_their_parts():
    """Guards against two requests that look the same."""
    assert identity_digest("ab", "c") != identity_digest("a", "bc")
    requests = [
        ("c", "POST", "/x", None, b""),
        ("c", "POST", "/x", "", b""),
        ("c", "POST", "/x", "-1:", b""),
        ("c", "POST", "/", "x", b""),
        ("c", "POST", "/x", None, b"1"),
        ("d", "POST", "/x", None, b""),
        ("c", "PUT", "/x", None, b""),
    ]
    assert len({request_fingerprint(*request) for request in requests}) == 7
    assert len(identity_digest("client", "key")) == 32
