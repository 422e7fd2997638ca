"""Digests that identify callers' requests without storing their content."""

import xxhash


def compute_identity_digest(client_id, idempotency_key):
    """Return the digest that identifies a client's idempotency key.

    :param client_id: client account of the caller.
    :param idempotency_key: value of the ``Idempotency-Key`` header.
    :return: 32 hexadecimal digits.
    """
    return _compute_digest((client_id, idempotency_key))


def compute_request_fingerprint(client_id, method, target, key, body):
    """Return the digest by which equal requests are recognised.

    :param client_id: client account of the caller.
    :param method: HTTP method.
    :param target: path and query.
    :param key: value of the ``Shallotyard-Key`` header, ``None`` if absent.
    :param body: body as bytes.
    :return: 32 hexadecimal digits.
    """
    return _compute_digest((client_id, method, target, key, body))


def _compute_digest(parts):
    # Each part is prefixed with its length, so that different lists of parts never
    # yield the same bytes. ``None`` is encoded as a length that no part has.
    digest = xxhash.xxh3_128()
    for part in parts:
        if part is None:
            digest.update(b"-1:")
            continue
        data = part.encode("utf-8", "surrogatepass") if isinstance(part, str) else part
        digest.update(b"%d:" % len(data))
        digest.update(data)
    return digest.hexdigest()
