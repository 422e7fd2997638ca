"""Checks the heads of HTTP/1 responses, for clients that leave the parsing to libcurl.

libcurl accepts heads that RFC 9112 does not allow. What it makes of them is not always
what the sender meant, and other clients read them in other ways.
"""

import re

# Status lines of RFC 9112 with a status of 100 to 599. libcurl reads three digits and
# takes what follows for the reason, so that 2000 passes for 200.
_STATUS_LINE = re.compile(
    rb"HTTP/1\.[01] [1-5][0-9]{2}(?: [^\x00-\x08\x0a-\x1f\x7f]*)?\r?\n?"
)
_STATUS_LINE_START = b"HTTP/"
# Field lines of RFC 9110. libcurl also takes control characters and names that are no
# tokens, which cannot be passed on.
_FIELD_LINE = re.compile(
    rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+:[^\x00-\x08\x0a-\x1f\x7f]*\r?\n?"
)
# Names of the fields that tell where a body ends.
FRAMING_FIELDS = frozenset({"content-length", "transfer-encoding"})
_LENGTH_NAME = b"content-length"
_CODING_NAME = b"transfer-encoding"
# Spares most lines the comparison of names.
_FRAMING_INITIALS = b"CTct"
# RFC 9110 allows lists of equal lengths. libcurl ignores a length of 2**63 or more and
# reads until the connection closes; 18 digits are always less.
_LENGTH = re.compile(rb"[ \t]*([0-9]{1,18})[ \t]*")
# The only transfer coding that a request without a TE field allows.
_CHUNKED = b"chunked"
_HTTP_1_0 = b"HTTP/1.0"
# Statuses of responses without a body, whatever their heads say of its length.
BODILESS_STATUSES = (204, 304)
MALFORMED_STATUS_LINE = "malformed status line"
MALFORMED_FIELD = "malformed header line"
MALFORMED_LENGTH = "malformed length"
UNSUPPORTED_CODING = "unsupported transfer coding"
AMBIGUOUS_LENGTH = "transfer coding beside a length or in HTTP/1.0"


class ResponseHead:
    """Head of a response, checked line by line, after those of interim responses.

    :ivar is_complete: whether the empty line after the latest head has arrived.
    :ivar count: number of heads that have begun, interim ones included.
    :ivar length: length that the latest head states, in bytes, None without one.
    :ivar is_chunked: whether the latest head has a transfer coding.
    """

    __slots__ = (
        "_codings",
        "_is_http_1_0",
        "count",
        "is_chunked",
        "is_complete",
        "length",
    )

    def __init__(self):
        self.is_complete = False
        self.count = 0
        self.length = None
        self.is_chunked = False
        self._is_http_1_0 = False
        self._codings = []

    def add_line(self, line):
        """Check the next line.

        :param line: line as bytes, with its end.
        :return: why the response must not be used, ``""`` if nothing is wrong so far.
        """
        if _FIELD_LINE.fullmatch(line):
            return self._add_framing(line) if line[0] in _FRAMING_INITIALS else ""
        if is_status_line(line):
            return self._begin(line)
        if line.strip(b"\r\n"):
            return MALFORMED_FIELD
        self.is_complete = True
        return self._find_coding_fault()

    def _begin(self, line):
        self.is_complete = False
        self.count += 1
        self.length = None
        self.is_chunked = False
        self._is_http_1_0 = line.startswith(_HTTP_1_0)
        self._codings = []
        return "" if _STATUS_LINE.fullmatch(line) else MALFORMED_STATUS_LINE

    def _add_framing(self, line):
        """Parse a line if its field tells where the body ends."""
        name, _, value = line.partition(b":")
        name = name.lower()
        if name == _LENGTH_NAME:
            return self._add_lengths(value.rstrip(b"\r\n"))
        if name == _CODING_NAME:
            self._add_codings(value.rstrip(b"\r\n"))
        return ""

    def _add_lengths(self, value):
        for element in value.split(b","):
            match = _LENGTH.fullmatch(element)
            if match is None or self.length not in (None, int(match[1])):
                return MALFORMED_LENGTH
            self.length = int(match[1])
        return ""

    def _add_codings(self, value):
        names = [element.strip(b" \t").lower() for element in value.split(b",")]
        # RFC 9110 lets recipients ignore empty elements of a list.
        self._codings += filter(None, names)
        self.is_chunked = True

    def _find_coding_fault(self):
        if not self.is_chunked:
            return ""
        if self._codings != [_CHUNKED]:
            return UNSUPPORTED_CODING
        if self.length is not None or self._is_http_1_0:
            return AMBIGUOUS_LENGTH
        return ""


def is_status_line(line):
    """Return whether a line begins a head. No field name contains a slash."""
    return line[:5] == _STATUS_LINE_START


def is_field_line(line):
    """Return whether a line with its end is a field line."""
    return _FIELD_LINE.fullmatch(line) is not None
