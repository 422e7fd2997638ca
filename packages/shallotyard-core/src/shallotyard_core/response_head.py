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
# tokens, which cannot be passed on. A group matches the name of a field that tells
# where the body ends.
_FIELD_LINE = re.compile(
    rb"(?:(content-length)|(transfer-encoding)|[!#$%&'*+\-.^_`|~0-9a-z]+)"
    rb":[^\x00-\x08\x0a-\x1f\x7f]*\r?\n?",
    re.IGNORECASE,
)
_LENGTH_GROUP = 1
# RFC 9110 allows lists of equal lengths. libcurl ignores a length of 2**63 or more and
# reads until the connection closes; 18 digits are always less.
_LENGTH = re.compile(rb"[ \t]*([0-9]{1,18})[ \t]*")
MALFORMED_STATUS_LINE = "malformed status line"
MALFORMED_FIELD = "malformed header line"
# The only transfer coding that a request without a TE field allows.
_CHUNKED = b"chunked"
_HTTP_1_0 = b"HTTP/1.0"
MALFORMED_LENGTH = "malformed length"
UNSUPPORTED_CODING = "unsupported transfer coding"
AMBIGUOUS_LENGTH = "transfer coding beside a length or in HTTP/1.0"


class ResponseHead:
    """Head of a response, checked line by line, after those of interim responses.

    :ivar is_complete: whether the empty line after the latest head has arrived.
    :ivar count: number of heads that have begun, interim ones included.
    :ivar length: length that the latest head states, in bytes, None without one.
    :ivar codings: transfer codings that the latest head lists, None without the field.
    """

    __slots__ = ("codings", "count", "is_complete", "is_http_1_0", "length")

    def __init__(self):
        self.is_complete = False
        self.count = 0
        self.is_http_1_0 = False
        self.length = None
        self.codings = None

    @property
    def is_chunked(self):
        """Whether the body is sent in chunks."""
        return self.codings is not None

    def add_line(self, line):
        """Check the next line.

        :param line: line as bytes, with its end.
        :return: why the response must not be used, ``""`` if nothing is wrong so far.
        """
        if is_status_line(line):
            return self._begin(line)
        if not line.strip(b"\r\n"):
            self.is_complete = True
            return self._find_coding_fault()
        match = _FIELD_LINE.fullmatch(line)
        if match is None:
            return MALFORMED_FIELD
        if match.lastindex is None:
            return ""
        elements = line.partition(b":")[2].rstrip(b"\r\n").split(b",")
        if match.lastindex == _LENGTH_GROUP:
            return self._add_lengths(elements)
        self._add_codings(elements)
        return ""

    def _begin(self, line):
        self.is_complete = False
        self.count += 1
        self.is_http_1_0 = line.startswith(_HTTP_1_0)
        self.length = None
        self.codings = None
        return "" if _STATUS_LINE.fullmatch(line) else MALFORMED_STATUS_LINE

    def _add_lengths(self, elements):
        matches = [_LENGTH.fullmatch(element) for element in elements]
        if not all(matches):
            return MALFORMED_LENGTH
        lengths = {int(match[1]) for match in matches}
        if self.length is not None:
            lengths.add(self.length)
        if len(lengths) > 1:
            return MALFORMED_LENGTH
        (self.length,) = lengths
        return ""

    def _add_codings(self, elements):
        names = [element.strip(b" \t").lower() for element in elements]
        # RFC 9110 lets recipients ignore empty elements of a list.
        self.codings = [*(self.codings or ()), *filter(None, names)]

    def _find_coding_fault(self):
        if self.codings is None:
            return ""
        if self.codings != [_CHUNKED]:
            return UNSUPPORTED_CODING
        if self.length is not None or self.is_http_1_0:
            return AMBIGUOUS_LENGTH
        return ""


def is_status_line(line):
    """Return whether a line begins a head. No field name contains a slash."""
    return line[:5] == _STATUS_LINE_START


def is_field_line(line):
    """Return whether a line with its end is a field line."""
    return _FIELD_LINE.fullmatch(line) is not None
