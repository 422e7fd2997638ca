"""Checks of a caller's request before it is sent anywhere."""

import hashlib

MAX_HEADER_LENGTH = 512

_HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "host",
        "content-length",
        "expect",
        "authorization",
        "accept-encoding",
    }
)
_PRIVATE_PREFIX = "shallotyard-"
_SINGLE_HEADERS = frozenset(
    {"shallotyard-key", "shallotyard-deadline-ms", "idempotency-key"}
)


def forwarded_headers(headers, client, key):
    """Return the headers for the upstream; it gets the client id, not the secret."""
    forwarded = {
        name: value
        for name, value in headers.items()
        if name not in _HOP_BY_HOP and not name.startswith(_PRIVATE_PREFIX)
    }
    forwarded["Shallotyard-Client"] = client.id
    if key:
        forwarded["Shallotyard-Key"] = key
    return forwarded


def authenticate(deployment, headers):
    """Return the client that a credential belongs to, ``None`` if there is none.

    :param deployment: published configuration.
    :param headers: header values by lower-case name.
    """
    scheme, _, credential = headers.get("authorization", "").partition(" ")
    if scheme.lower() != "bearer" or not credential:
        return None
    digest = hashlib.sha256(credential.strip().encode()).hexdigest()
    return deployment.clients_by_digest.get(digest)


def match_route(deployment, client, target):
    """Return the service behind a path, ``None`` if the client has no such route.

    :param deployment: published configuration.
    :param client: the client account.
    :param target: path and query.
    """
    for route in deployment.routes:
        open_to_client = route.clients is None or client.id in route.clients
        if open_to_client and target.startswith(route.prefix):
            return deployment.services_by_id[route.service]
    return None


def check_target(target):
    """Return what is wrong with the path, ``""`` if nothing."""
    path = target.partition("?")[0]
    if "/." not in path and "%" not in path:
        return ""
    segments = path.lower().replace("%2e", ".").replace("%2f", "/").split("/")
    # An upstream, or libcurl, would resolve these to a path of another route or
    # to the calls that only the router may make.
    if "." in segments or ".." in segments:
        return "path: '.' and '..' segments are not accepted"
    return ""


def check_headers(service, request):
    """Return what is wrong with the request headers, ``""`` if nothing."""
    headers = request.headers
    for name in request.repeated:
        if name in _SINGLE_HEADERS:
            return f"{name}: given more than once"
    key = headers.get("shallotyard-key")
    if service.keyed and not key:
        return "Shallotyard-Key: required by this service"
    for name in ("shallotyard-key", "idempotency-key"):
        if len(headers.get(name, "")) > MAX_HEADER_LENGTH:
            return f"{name}: longer than {MAX_HEADER_LENGTH} characters"
    budget_ms = headers.get("shallotyard-deadline-ms")
    if budget_ms is not None and not _is_positive_integer(budget_ms):
        return "Shallotyard-Deadline-Ms: expected a positive number of milliseconds"
    return ""


def _is_positive_integer(text):
    return text.isascii() and text.isdigit() and 0 < len(text) <= 9 and int(text) > 0
