"""The RESP reader: valid messages, and the check of each length before memory is allocated for it."""

import pytest

from rushroad.proxy.resp import MAX_LINE_BYTES, MAX_VALUE_BYTES, ProtocolError, Reader, encode_array


def read(data: bytes, responses: bool, chunk_size: int) -> list[object]:
    reader = Reader(3, responses)
    messages: list[object] = []
    for start in range(0, len(data), chunk_size):
        reader.feed(data[start : start + chunk_size])
        while (message := reader.next()) is not None:
            messages.append(message)
    assert reader.at_message_boundary()
    return messages


@pytest.mark.parametrize("chunk_size", [1, 2, 7, 10_000])
def test_messages_are_read_from_chunks_of_any_size(chunk_size: int) -> None:
    items = [b"a\r\nb", b"", b"x" * 300]
    assert read(encode_array(items) + encode_array([b"PING"]), False, chunk_size) == [items, [b"PING"]]
    response = b"*3\r\n$1\r\nv\r\n$-1\r\n*-1\r\n-BUSY\r\n*3\r\n$0\r\n\r\n:12\r\n+odd\r\n"
    assert read(response, True, chunk_size) == [[b"v", None, None], b"BUSY", [b"", None, None]]


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
def test_malformed_message_raises_protocol_error_before_its_declared_length_arrives(
    data: bytes, responses: bool
) -> None:
    # A reader that waited for the declared length, or for the end of a line, would buffer that much data.
    reader = Reader(3, responses)
    reader.feed(data)
    with pytest.raises(ProtocolError):
        while reader.next() is not None:
            pass


def test_error_line_that_reaches_its_maximum_length_without_an_end_raises_protocol_error() -> None:
    reader = Reader(3, responses=True)
    reader.feed(b"-" + b"x" * (MAX_LINE_BYTES - 2))
    assert reader.next() is None
    reader.feed(b"x")
    with pytest.raises(ProtocolError):
        reader.next()
