"""Validation and authentication of callers' requests."""

import hashlib

MAX_HEADER_LENGTH = 512

_HEADERS_NOT_FORWARDED = frozenset(
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
_ROUTER_HEADER_PREFIX = "shallotyard-"
_HEADERS_ALLOWED_ONCE = frozenset(
    {"shallotyard-key", "shallotyard-deadline-ms", "idempotency-key"}
)


def build_forwarded_headers(headers, client, key):
    """Return the headers for the upstream, with the client id but no credential.

    :param headers: header values by lower-case name.
    :param client: the client account.
    :param key: value of the ``Shallotyard-Key`` header, ``None`` if absent.
    """
    forwarded = {
        name: value
        for name, value in headers.items()
        if name not in _HEADERS_NOT_FORWARDED
        and not name.startswith(_ROUTER_HEADER_PREFIX)
    }
    forwarded["Shallotyard-Client"] = client.id
    if key:
        forwarded["Shallotyard-Key"] = key
    return forwarded


def authenticate(deployment, headers):
    """Return the client account of a request's credential, ``None`` if unknown.

    :param deployment: the current `Deployment`.
    :param headers: header values by lower-case name.
    """
    scheme, _, credential = headers.get("authorization", "").partition(" ")
    if scheme.lower() != "bearer" or not credential:
        return None
    digest = hashlib.sha256(credential.strip().encode()).hexdigest()
    return deployment.clients_by_digest.get(digest)


def match_route(deployment, client, target):
    """Return the service that a path is routed to, ``None`` if the client has no route.

    :param deployment: the current `Deployment`.
    :param client: the client account.
    :param target: path and query.
    """
    for route in deployment.routes:
        open_to_client = route.clients is None or client.id in route.clients
        if open_to_client and target.startswith(route.prefix):
            return deployment.services_by_id[route.service]
    return None


def check_target(target):
    """Return why a path is invalid, ``""`` if it is valid.

    :param target: path and query.
    """
    path = target.partition("?")[0]
    if "/." not in path and "%" not in path:
        return ""
    segments = path.lower().replace("%2e", ".").replace("%2f", "/").split("/")
    # An upstream or libcurl would resolve these segments to a path of another route,
    # or to the endpoints that only the router may call.
    if "." in segments or ".." in segments:
        return "path: '.' and '..' segments are not accepted"
    return ""


def check_headers(service, request):
    """Return why the request headers are invalid, ``""`` if they are valid.

    :param service: service that the request is routed to.
    :param request: the `CallerRequest`.
    """
    headers = request.headers
    for name in request.repeated_headers:
        if name in _HEADERS_ALLOWED_ONCE:
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
