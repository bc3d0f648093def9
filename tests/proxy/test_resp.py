"""The reader of RESP: what it reads, and that it checks each length before it makes room for it."""

import pytest

from rushroad.proxy.resp import MAX_LINE_BYTES, MAX_VALUE_BYTES, ProtocolError, Reader, encode_array


def read(data: bytes, responses: bool, step: int) -> list[object]:
    reader = Reader(3, responses)
    messages: list[object] = []
    for start in range(0, len(data), step):
        reader.feed(data[start : start + step])
        while (message := reader.next()) is not None:
            messages.append(message)
    assert reader.at_message_boundary()
    return messages


@pytest.mark.parametrize("step", [1, 2, 7, 10_000])
def test_messages_are_read_from_pieces_of_any_length(step: int) -> None:
    words = [b"a\r\nb", b"", b"x" * 300]
    assert read(encode_array(words) + encode_array([b"PING"]), False, step) == [words, [b"PING"]]
    response = b"*3\r\n$1\r\nv\r\n$-1\r\n*-1\r\n-BUSY\r\n*3\r\n$0\r\n\r\n:12\r\n+odd\r\n"
    assert read(response, True, step) == [[b"v", None, None], b"BUSY", [b"", None, None]]


@pytest.mark.parametrize("responses", [False, True])
@pytest.mark.parametrize(
    "data",
    [
        b"h",
        b":1\r\n",
        b"*0\r\n",
        b"*-1\r\n",
        b"*4\r\n",
        b"*+1\r\n",
        b"* 1\r\n",
        b"*1_0\r\n",
        b"*\r\n",
        b"*1\r\n:",
        b"*1\r\n$-1\r\n",
        b"*1\r\n*1\r\n",
        b"*2\r\n$1\r\nx\r\n*1\r\n",
        b"*1\r\n$x\r\n",
        b"*1\r\n$65537\r\n",
        b"*1\r\n$3000000000\r\n",
        b"*1\r\n$-3\r\n",
        b"*99999999999999999",
        b"*2\r\n$65536\r\n" + b"x" * MAX_VALUE_BYTES + b"\r\n$65536\r\n",
        b"*1\r\n$1\r\nxyz",
        b"*1\r\n$1\r\nx\r\n*1000000000\r\n",
    ],
)
def test_malformed_message_raises_protocol_error_before_its_announced_bytes_come(
    data: bytes, responses: bool
) -> None:
    # A reader that waited for what is announced, or for the end of a line, would hold memory for it.
    reader = Reader(3, responses)
    reader.feed(data)
    with pytest.raises(ProtocolError):
        while reader.next() is not None:
            pass


def test_error_line_that_reaches_its_maximum_without_an_end_raises_protocol_error() -> None:
    reader = Reader(3, responses=True)
    reader.feed(b"-" + b"x" * (MAX_LINE_BYTES - 2))
    assert reader.next() is None
    reader.feed(b"x")
    with pytest.raises(ProtocolError):
        reader.next()
