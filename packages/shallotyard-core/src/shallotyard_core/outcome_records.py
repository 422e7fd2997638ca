"""Outcome records of non-idempotent requests, as they are stored and sent."""

import base64
import enum
import math
from dataclasses import dataclass

RETENTION_S = 300.0


class RecordState(enum.Enum):
    """State of a recorded request.

    ``DONE`` has a stored response. ``UNKNOWN`` may have run, or has run without a
    stored response.
    """

    RUNNING = "running"
    DONE = "done"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class StoredResponse:
    """Complete response stored for repeated requests.

    :param status: HTTP status code.
    :param headers: pairs of header name and value.
    :param body: the body.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes

    def compute_size_bytes(self):
        """Return the size that counts against ``max_response_bytes``."""
        return len(self.body) + sum(
            len(name) + len(value) for name, value in self.headers
        )

    def to_wire(self):
        """Return the response as a dict of JSON types."""
        return {
            "status": self.status,
            "headers": [list(pair) for pair in self.headers],
            "body": base64.b64encode(self.body).decode("ascii"),
        }

    @classmethod
    def from_wire(cls, wire):
        """Return the response from the result of :meth:`to_wire`."""
        return cls(
            status=wire["status"],
            headers=tuple((name, value) for name, value in wire["headers"]),
            body=base64.b64decode(wire["body"]),
        )


@dataclass(slots=True)
class OutcomeRecord:
    """Outcome record of a non-idempotent request.

    :param slice_id: slice of the request.
    :param identity: result of :func:`digests.compute_identity_digest`.
    :param fingerprint: result of :func:`digests.compute_request_fingerprint`.
    :param state: state of the request.
    :param expires_at: time in seconds when the record may be removed; infinite while
        the request runs on this instance.
    :param response: the response, in state ``DONE`` only.
    """

    slice_id: str
    identity: str
    fingerprint: str
    state: RecordState
    expires_at: float = math.inf
    response: StoredResponse | None = None

    def to_wire(self, now):
        """Return the record as a dict of JSON types, without any client id.

        :param now: current time in seconds; the dict contains the remaining time,
            because instances have different clocks.
        """
        running = self.expires_at == math.inf
        return {
            "slice": self.slice_id,
            "identity": self.identity,
            "fingerprint": self.fingerprint,
            "state": self.state.value,
            "ttl_s": None if running else max(0.0, self.expires_at - now),
            "response": None if self.response is None else self.response.to_wire(),
        }

    @classmethod
    def from_wire(cls, wire, now):
        """Return the record from the result of :meth:`to_wire`.

        :param wire: dict from another instance.
        :param now: current time in seconds on this instance.
        """
        ttl_s = wire["ttl_s"]
        response = wire["response"]
        return cls(
            slice_id=wire["slice"],
            identity=wire["identity"],
            fingerprint=wire["fingerprint"],
            state=RecordState(wire["state"]),
            expires_at=math.inf if ttl_s is None else now + min(ttl_s, RETENTION_S),
            response=None if response is None else StoredResponse.from_wire(response),
        )
