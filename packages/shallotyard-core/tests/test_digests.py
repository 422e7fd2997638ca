from shallotyard_core.digests import compute_identity_digest
from shallotyard_core.digests import compute_request_fingerprint


def test_digests_distinguish_their_parts():
    """Guards against different requests with the same digest."""
    assert compute_identity_digest("ab", "c") != compute_identity_digest("a", "bc")
    requests = [
        ("c", "POST", "/x", None, b""),
        ("c", "POST", "/x", "", b""),
        ("c", "POST", "/x", "-1:", b""),
        ("c", "POST", "/", "x", b""),
        ("c", "POST", "/x", None, b"1"),
        ("d", "POST", "/x", None, b""),
        ("c", "PUT", "/x", None, b""),
    ]
    assert len({compute_request_fingerprint(*request) for request in requests}) == 7
    assert len(compute_identity_digest("client", "key")) == 32
