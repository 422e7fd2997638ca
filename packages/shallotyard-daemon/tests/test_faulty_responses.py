"""Tests of upstreams that break off a response, or write one more than once."""

import asyncio

import pytest
from tornado.httputil import HTTPHeaders

from shallotyard_daemon.curl_pool import NO_REQUEST_ID
from shallotyard_daemon.curl_pool import CurlPool
from shallotyard_daemon.transfers import Transfer

SCENARIO_TIMEOUT_S = 10.0
HEAD = (
    b"HTTP/1.1 200 OK\r\n"
    b"Shallotyard-Request-Id: r1\r\n"
    b"Shallotyard-Response-Seal: s\r\n"
    b"Content-Length: 50\r\n"
    b"\r\n"
)
REFUSAL = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


def build_transfer(port, finish, request_id=b"r1", **options):
    """Return a GET transfer."""
    return Transfer(
        f"http://127.0.0.1:{port}/",
        "GET",
        [],
        b"",
        500,
        5000,
        False,
        request_id,
        lambda: True,
        finish,
        **options,
    )


def run_transfers(serve, count, **options):
    """Run transfers one after another; return them, and the number of connections.

    :param serve: coroutine function that gets the reader and writer of a connection.
    """

    async def run():
        connections = 0

        async def handle(reader, writer):
            nonlocal connections
            connections += 1
            try:
                await serve(reader, writer)
            except (asyncio.IncompleteReadError, ConnectionError):
                pass
            finally:
                writer.close()

        server = await asyncio.start_server(handle, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        pool = CurlPool(force_instance=True)
        ended = []
        for number in range(count):
            pool.start(build_transfer(port, ended.append, **options))
            while len(ended) <= number:
                await asyncio.sleep(0.005)
        server.close()
        pool.close()
        return ended, connections

    return asyncio.run(asyncio.wait_for(run(), SCENARIO_TIMEOUT_S))


@pytest.mark.parametrize("size", range(1, len(HEAD), 7))
def test_head_that_is_broken_off_passes_for_a_whole_response(size):
    """Guards against a success with an empty body that the upstream never ended."""

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(HEAD[:size])
        await writer.drain()

    ((transfer,), _) = run_transfers(serve, 1)
    assert transfer.error


def test_whole_head_without_a_length_is_read_until_the_connection_closes():
    """Guards against whole responses that count as broken off."""

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\nShallotyard-Request-Id: r1\r\n\r\nwhole")
        await writer.drain()

    ((transfer,), _) = run_transfers(serve, 1)
    assert (transfer.error, transfer.response_body) == (0, b"whole")


MALFORMED_STATUS_LINES = (
    b"HTTP/1.1 2000 OK",
    b"HTTP/1.1 000 OK",
    b"HTTP/1.1 099 OK",
    b"HTTP/1.1 600 OK",
    b"HTTP/1.1 0200 OK",
    b"HTTP/1.1 +200 OK",
    b"HTTP/1.1 -20 OK",
    b"HTTP/1.1 20 OK",
    b"HTTP/1.1 2O0 OK",
    b"HTTP/1.1  200 OK",
    b"HTTP/1.1\t200 OK",
    b"HTTP/1.1 200OK",
    b"HTTP/1.1 200\tOK",
    b"HTTP/1.1 200 \x01",
    b"HTTP/1.1200 OK",
    b"HTTP/1.2 200 OK",
    b"HTTP/2.0 200 OK",
    b"HTTP/2 200 OK",
    b"HTTP/01.1 200 OK",
    b"http/1.1 200 OK",
    b"ICY 200 OK",
)


@pytest.mark.parametrize("line", MALFORMED_STATUS_LINES)
@pytest.mark.parametrize("request_id", [b"r1", NO_REQUEST_ID])
def test_malformed_status_line_passes_for_a_response(line, request_id):
    """Guards against a caller, a grant or a store call that takes bytes which are no
    HTTP response, such as one with the status 2000, for a success.
    """

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(line + b"\r\nContent-Length: 2\r\n\r\nok")
        await writer.drain()

    ((transfer,), _) = run_transfers(serve, 1, request_id=request_id)
    assert transfer.error
    assert transfer.status == 0
    assert transfer.response_body == b""


@pytest.mark.parametrize(
    "line", [b"HTTP/1.0 200", b"HTTP/1.1 200 ", b"HTTP/1.1 200 \xe9"]
)
def test_valid_status_line_is_refused(line):
    """Guards against failures for responses without a reason, or with one that is not
    ASCII.
    """

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(line + b"\r\nContent-Length: 2\r\n\r\nok")
        await writer.drain()

    ((transfer,), _) = run_transfers(serve, 1)
    assert (transfer.error, transfer.status, transfer.response_body) == (0, 200, b"ok")


def test_repeated_refusal_passes_for_the_answer_to_a_later_request():
    """Guards against requests told not to have run that an upstream has run."""

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(REFUSAL)
        await writer.drain()
        await reader.readuntil(b"\r\n\r\n")
        # The faulty upstream runs the second request, and repeats the refusal before.
        writer.write(REFUSAL + ANSWER)
        await writer.drain()

    (transfers, connections) = run_transfers(serve, 3)
    assert connections == 3
    assert [transfer.reused for transfer in transfers] == [False] * 3


def test_connections_are_kept_after_successes():
    """Guards against a new connection for each request."""

    async def serve(reader, writer):
        while True:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(ANSWER)
            await writer.drain()

    (transfers, connections) = run_transfers(serve, 3)
    assert connections == 1
    assert [transfer.reused for transfer in transfers] == [False, True, True]


def test_response_with_a_request_id_passes_for_the_answer_to_a_grant():
    """Guards against grants confirmed by the late response to a request."""

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(HEAD + b"x" * 50)
        await writer.drain()

    ((transfer,), _) = run_transfers(serve, 1, request_id=NO_REQUEST_ID)
    assert transfer.mismatched
    assert transfer.error


def run_transfer_with(response):
    """Return the transfer that gets a response on a connection that then closes."""

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(response)
        await writer.drain()

    ((transfer,), _) = run_transfers(serve, 1, request_id=b"")
    return transfer


@pytest.mark.parametrize(
    "line",
    [
        b"Content-Type: text\x0fplain",
        b"Content\x0fType: text/plain",
        b"X: a\x7f",
        b"X: a\x0b",
        b"X: a\x00b",
        b"X: a\rb",
        b"X : a",
        b"a b: c",
        b": nameless",
        b"no colon",
        b"M\xfcll: a",
        b"HTTP/1.1 200 OK",
    ],
)
@pytest.mark.parametrize("place", ["head", "trailer"])
def test_malformed_line_is_passed_on(line, place):
    """Guards against lines that the server for callers cannot write, so that a request
    that has run gets no answer.
    """
    if place == "head":
        response = b"HTTP/1.1 200 OK\r\n" + line + b"\r\nContent-Length: 0\r\n\r\n"
    else:
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        response = head + b"0\r\n" + line + b"\r\n\r\n"
    transfer = run_transfer_with(response)
    assert transfer.error
    assert transfer.sent


@pytest.mark.parametrize("status", [b"000", b"099", b"101", b"600", b"999"])
def test_status_of_no_final_response_is_passed_on(status):
    """Guards against statuses with which no exchange ends."""
    head = b"HTTP/1.1 " + status + b" Odd\r\nContent-Length: 0\r\n\r\n"
    assert run_transfer_with(head).error


@pytest.mark.parametrize(
    "line",
    [b"X:", b"X:\ta\tb ", b"X: \x80\xff", b"!#$%&'*+-.^_`|~0aZ: a:b", b"X: a\r\n b"],
)
def test_proper_line_is_refused(line):
    """Guards against proper responses that count as malformed."""
    head = b"HTTP/1.1 200 OK\r\n" + line + b"\r\nContent-Length: 0\r\n\r\n"
    transfer = run_transfer_with(head)
    assert (transfer.error, transfer.status) == (0, 200)
    for name, value in transfer.response_headers():
        # Raises if the server for callers cannot write the line.
        HTTPHeaders().add(name, value)


def test_trailer_counts_as_a_header():
    """A request that had run was answered as not executed because of a trailer."""
    head = b"HTTP/1.1 200 OK\r\nX: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
    body = b"2\r\nok\r\n0\r\nShallotyard-Not-Executed: 1\r\nX: 2\r\n\r\n"
    transfer = run_transfer_with(head + body)
    assert (transfer.error, transfer.response_body) == (0, b"ok")
    names = [name for name, _ in transfer.response_headers()]
    assert names == ["X", "Transfer-Encoding"]


MALFORMED_LENGTHS = (
    b"5x",
    b"5 x",
    b"x5",
    b"5;x",
    b"+5",
    b"-5",
    b"0x5",
    b"5.0",
    b"5e0",
    b"5_0",
    b"5 5",
    b'"5"',
    b"\xa05",
    b"5, 6",
    b"6, 5",
    b"5,",
    b",5",
    b"",
    b"5\r\n 5",
    b"5\r\nContent-Length: 6",
    b"6\r\ncontent-length: 5",
    b"5\r\nContent-Length:",
    # From 2**63 on, and 2**64 + 5.
    b"9223372036854775808",
    b"18446744073709551621",
    b"99999999999999999999999999999999999999999",
)


@pytest.mark.parametrize("value", MALFORMED_LENGTHS)
@pytest.mark.parametrize("status", [b"200", b"304"])
def test_malformed_length_passes_for_a_response(value, status):
    """Callers got bytes behind the body as a part of it, because libcurl ignores a
    length that is out of its range and reads until the connection closes.
    """
    line = b"Content-Length: " + value
    head = b"HTTP/1.1 " + status + b" OK\r\n" + line + b"\r\n\r\n"
    transfer = run_transfer_with(head + b"hello and more")
    assert transfer.error
    assert (transfer.status, transfer.response_body) == (0, b"")


@pytest.mark.parametrize(
    "line",
    [
        b"Content-Length: 5, 5",
        b"Content-Length:5,5 ,\t5",
        b"Content-Length:\t5 \t",
        b"content-length: 05",
        b"Content-Length: 5\r\nX: 1\r\nCONTENT-LENGTH: 5",
        b"Content-Length:\r\n 5",
        b"Content-Lengths: x",
        b"X-Content-Length: x",
    ],
)
def test_proper_length_is_refused(line):
    """Guards against checks of lengths that are stricter than HTTP."""
    head = b"HTTP/1.1 200 OK\r\n" + line + b"\r\n\r\n"
    transfer = run_transfer_with(head + b"hello")
    assert (transfer.error, transfer.response_body) == (0, b"hello")


@pytest.mark.parametrize("value", [b"3", b"0", b"500"])
def test_length_in_an_interim_head_counts_for_the_body(value):
    """Guards against bodies that end where an interim response says."""
    interim = b"HTTP/1.1 103 Early Hints\r\nContent-Length: " + value + b"\r\n\r\n"
    transfer = run_transfer_with(interim + b"HTTP/1.1 200 OK\r\n\r\nhello")
    assert (transfer.error, transfer.response_body) == (0, b"hello")


@pytest.mark.parametrize("value", [b"3", b"500", b"x"])
def test_length_in_a_trailer_counts_for_the_body(value):
    """Guards against trailers that change or fail a body that is complete."""
    head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    trailer = b"0\r\nContent-Length: " + value + b"\r\n\r\n"
    transfer = run_transfer_with(head + b"5\r\nhello\r\n" + trailer)
    assert (transfer.error, transfer.response_body) == (0, b"hello")


CHUNKS = b"5\r\nhello\r\n0\r\n\r\n"


@pytest.mark.parametrize(
    "lines",
    [
        b"Transfer-Encoding:",
        b"Transfer-Encoding: ,",
        b"Transfer-Encoding: identity",
        b"Transfer-Encoding: gzip",
        b"Transfer-Encoding: xchunked",
        b"Transfer-Encoding: chunkedx",
        b"Transfer-Encoding: chunked;q=1",
        b'Transfer-Encoding: "chunked"',
        b"Transfer-Encoding: \xa0chunked",
        b"Transfer-Encoding: chunked chunked",
        b"Transfer-Encoding: chunked, identity",
        b"Transfer-Encoding: identity, chunked",
        b"Transfer-Encoding: gzip, chunked",
        b"Transfer-Encoding: chunked, chunked",
        b"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
        b"Transfer-Encoding: chunked\r\nContent-Length: 5",
        b"Content-Length: 15\r\nTransfer-Encoding: chunked",
        b"Transfer-Encoding: identity\r\nContent-Length: 5",
    ],
)
@pytest.mark.parametrize("status", [b"200", b"304"])
def test_ambiguous_transfer_coding_passes_for_a_response(lines, status):
    """Callers got the framing of chunks as a body, or one of two possible bodies."""
    head = b"HTTP/1.1 " + status + b" OK\r\n" + lines + b"\r\n\r\n"
    transfer = run_transfer_with(head + CHUNKS)
    assert transfer.error
    assert (transfer.status, transfer.response_body) == (0, b"")


def test_transfer_coding_of_http_1_0_passes_for_a_response():
    """Guards against chunks that a sender of HTTP/1.0, which has none, passed on."""
    head = b"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    assert run_transfer_with(head + CHUNKS).error


@pytest.mark.parametrize(
    "lines",
    [
        b"Transfer-Encoding: chunked",
        b"transfer-encoding:Chunked \t",
        b"Transfer-Encoding: ,chunked,",
        b"Transfer-Encoding:\r\nTransfer-Encoding: chunked",
        b"Transfer-Encoding:\r\n chunked",
    ],
)
def test_proper_transfer_coding_is_refused(lines):
    """Guards against checks of transfer codings that are stricter than HTTP."""
    head = b"HTTP/1.1 200 OK\r\n" + lines + b"\r\n\r\n"
    transfer = run_transfer_with(head + CHUNKS)
    assert (transfer.error, transfer.response_body) == (0, b"hello")


def test_transfer_coding_of_an_interim_head_counts_for_the_body():
    """Guards against a body that is read in the coding of an interim response."""
    interim = b"HTTP/1.1 103 Early Hints\r\nTransfer-Encoding: chunked\r\n\r\n"
    transfer = run_transfer_with(interim + b"HTTP/1.1 200 OK\r\n\r\n" + CHUNKS)
    assert (transfer.error, transfer.response_body) == (0, CHUNKS)


@pytest.mark.parametrize("version", [b"1.0", b"1.1"])
def test_body_without_a_length_is_refused(version):
    """Guards against failures of responses that end with their connection."""
    transfer = run_transfer_with(b"HTTP/" + version + b" 200 OK\r\n\r\nhello")
    assert (transfer.error, transfer.response_body) == (0, b"hello")


CHUNKED_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


@pytest.mark.parametrize(
    "chunks",
    [
        # One byte more, and one byte less, than the size says.
        b"5\r\nhell\r\n0\r\n\r\n",
        b"5\r\nhello!\r\n0\r\n\r\n",
        b"0x5\r\n\r\n",
        b"0q\r\n\r\n",
        b"5x\r\nhello\r\n0\r\n\r\n",
        b"5 x\r\nhello\r\n0\r\n\r\n",
        b"5,5\r\nhello\r\n0\r\n\r\n",
        b"5\xff\r\nhello\r\n0\r\n\r\n",
        b"5;\x00\r\nhello\r\n0\r\n\r\n",
        b"5;a\rb\r\nhello\r\n0\r\n\r\n",
        b"+5\r\nhello\r\n0\r\n\r\n",
        b"-5\r\nhello\r\n0\r\n\r\n",
        b" 5\r\nhello\r\n0\r\n\r\n",
        b"\r\n5\r\nhello\r\n0\r\n\r\n",
        b"5\nhello\r\n0\r\n\r\n",
        b"5\r\nhello\n0\r\n\r\n",
        b"5\r\nhello0\r\n\r\n",
        b"5\r\nhello\r\n0\n\n",
        b"5\r\nhello\r\n0x\r\n\r\n",
        b"5\r\nhello\r\n0\r\nX 1\r\n\r\n",
        b"5\r\nhello\r\n0\r\nX: 1\n\n",
        b"5\r\nhello\r\n\r\n",
        b"fffffffffffffffff5\r\nhello\r\n0\r\n\r\n",
        b"8000000000000000\r\nhello\r\n0\r\n\r\n",
        b"5\r\nhello\r\n",
        b"5\r\nhello\r\n0\r\n",
    ],
)
def test_malformed_chunks_pass_for_a_response(chunks):
    """Callers got a body that was not that of the upstream, such as one that ends in a
    part of the framing, because libcurl checks neither the rest of a size line nor the
    whole end of a chunk.
    """
    transfer = run_transfer_with(CHUNKED_HEAD + chunks)
    assert transfer.error
    assert (transfer.status, transfer.response_body) == (0, b"")


@pytest.mark.parametrize(
    "chunks",
    [
        b"5;a\r\nhello\r\n0;b=c\r\n\r\n",
        b'5 ; a="b;\xff"\r\nhello\r\n0\r\n\r\n',
        b"05 \r\nhello\r\n000\r\n\r\n",
        b"3\r\nhel\r\n2\r\nlo\r\n0\r\nX: 1\r\nY:\r\n\r\n",
        b"5\r\nhello\r\n0\r\n\r\nbytes behind the end",
    ],
)
def test_proper_chunks_are_refused(chunks):
    """Guards against checks of chunks that are stricter than HTTP."""
    transfer = run_transfer_with(CHUNKED_HEAD + chunks)
    assert (transfer.error, transfer.response_body) == (0, b"hello")


def test_connections_are_kept_after_chunks():
    """Guards against a new connection for each request after a body in chunks."""

    async def serve(reader, writer):
        while True:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(CHUNKED_HEAD + CHUNKS)
            await writer.drain()

    (transfers, connections) = run_transfers(serve, 3)
    assert connections == 1
    assert [transfer.response_body for transfer in transfers] == [b"hello"] * 3


@pytest.mark.parametrize("status", [b"204", b"304"])
def test_coding_of_a_response_without_a_body_is_awaited(status):
    """Guards against responses that fail because no chunk follows."""
    head = CHUNKED_HEAD.replace(b"200", status)
    transfer = run_transfer_with(head)
    assert (transfer.error, transfer.status) == (0, int(status))
