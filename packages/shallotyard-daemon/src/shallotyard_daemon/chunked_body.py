"""Decodes bodies of requests in chunks."""

from tornado.httputil import HTTPInputError

from shallotyard_core.chunked_decoder import ChunkedDecoder
from shallotyard_core.exceptions import ChunkedFormatError


class ChunkedBody(ChunkedDecoder):
    """Decoder of one body, with the errors of tornado."""

    def decode(self, data):
        """Return the part of the body in the next bytes.

        :raises HTTPInputError: if they are malformed.
        """
        try:
            return super().decode(data)
        except ChunkedFormatError as error:
            raise HTTPInputError(str(error)) from error
