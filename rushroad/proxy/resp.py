"""A RESP2 reader with bounded memory, for clients' commands and endpoints' responses, and an encoder.

RESP libraries allocate memory for a declared length before the data has arrived. This reader checks each
type, count and length as soon as its line is complete, so that no peer makes the gateway buffer more than one
message.
"""

from __future__ import annotations

MAX_VALUE_BYTES = 64 * 1024  # of one string
MAX_MESSAGE_BYTES = MAX_VALUE_BYTES + 4 * 1024  # of all strings of a message: one value and shorter strings
MAX_HEADER_BYTES = 16  # of a line with a count or a length
MAX_LINE_BYTES = 512  # of an error line
BULK_STRING, ARRAY, ERROR = b"$", b"*", b"-"
NULL_BULK_STRING, NULL_ARRAY = b"$-1", b"*-1"
UNKNOWN_LENGTH = -1


class ProtocolError(ValueError):
    """The data is not a valid message, so the start of the next message is unknown.

    The text describes the error and is sent to clients.
    """


def encode_array(items: list[bytes]) -> bytes:
    """Encode an array of strings, such as a command."""
    return b"*%d\r\n%b" % (len(items), b"".join([b"$%d\r\n%b\r\n" % (len(item), item) for item in items]))


class Reader:
    """Reads flat arrays of strings; in responses also error lines, and array items of other types.

    An item that is not a string (null, a number, a line) is returned as None.
    """

    __slots__ = (
        "_consumed_before_data",
        "_data",
        "_items",
        "_max_items",
        "_message_bytes",
        "_missing_items",
        "_position",
        "_reads_responses",
        "_string_length",
    )

    def __init__(self, max_items: int, responses: bool = False) -> None:
        """Limit arrays to `max_items`. With `responses`, read an endpoint's responses, not commands."""
        self._max_items, self._reads_responses = max_items, responses
        self._data, self._position = b"", 0  # buffered bytes, and how many of them have been read
        self._consumed_before_data = 0  # bytes that were read before the start of the buffer
        self._items: list[bytes | None] = []
        self._missing_items = 0  # of the current array
        self._string_length = UNKNOWN_LENGTH  # of the current string
        self._message_bytes = 0  # total length of the strings declared so far in the current array

    def feed(self, data: bytes) -> None:
        """Add received data."""
        self._consumed_before_data += self._position
        self._data = self._data[self._position :] + data if self._position < len(self._data) else data
        self._position = 0

    def at_message_boundary(self) -> bool:
        """Return whether the last message is complete and no data follows it."""
        return self._position >= len(self._data) and not self._missing_items

    @property
    def consumed_bytes(self) -> int:
        """Total number of bytes read; after a message, the position of its end in the stream."""
        return self._consumed_before_data + self._position

    @property
    def consumed_in_memory(self) -> int:
        """Number of bytes that have been read and are still in memory."""
        return self._position

    @property
    def unread_bytes(self) -> int:
        """Number of bytes that have been received but not read."""
        return len(self._data) - self._position

    @property
    def held_bytes(self) -> int:
        """Number of bytes in memory: the buffer, with what has been read of it, and an incomplete array."""
        if not self._items:
            return len(self._data)
        return len(self._data) + sum([len(item) for item in self._items if item is not None])

    def release_read_data(self) -> None:
        """Release the memory of the data that has been read."""
        if self._position:
            self.feed(b"")

    def next(self) -> list[bytes | None] | bytes | None:
        """Return the next message: an array, or an error line without its type byte; None if incomplete.

        Raises ProtocolError for data that is not a valid message.
        """
        message = self._next()
        if self._position == len(self._data):
            self.release_read_data()  # an idle connection keeps none
        return message

    def _next(self) -> list[bytes | None] | bytes | None:
        if not self._missing_items:
            line = self._read_line(ARRAY + ERROR if self._reads_responses else ARRAY)
            if line is None:
                return None
            if line[:1] == ERROR:
                return line[1:]
            self._missing_items = self._parse_number(line, self._max_items)
            if not self._missing_items:
                raise ProtocolError("an array of nothing")
            self._message_bytes = 0
        while self._missing_items:
            if not self._read_item():
                return None
            self._missing_items -= 1
        items, self._items = self._items, []
        return items

    def _read_item(self) -> bool:
        """Read one item of the current array; returns False if it is incomplete."""
        if self._string_length < 0:
            line = self._read_line(b"$:+-*" if self._reads_responses and self._items else BULK_STRING)
            if line is None:
                return False
            if line[:1] != BULK_STRING or line == NULL_BULK_STRING:
                # Only the second and third items of a response may be of another type, but not an array.
                if not self._reads_responses or not self._items or (line[:1] == ARRAY and line != NULL_ARRAY):
                    raise ProtocolError("not a string")
                self._items.append(None)
                return True
            self._string_length = self._parse_number(line, MAX_VALUE_BYTES)
            self._message_bytes += self._string_length
            if self._message_bytes > MAX_MESSAGE_BYTES:
                raise ProtocolError("too much for one message")
        end = self._position + self._string_length
        if len(self._data) < end + 2:
            return False
        if self._data[end : end + 2] != b"\r\n":
            raise ProtocolError("a length that does not fit")
        self._items.append(self._data[self._position : end])
        self._position, self._string_length = end + 2, UNKNOWN_LENGTH
        return True

    def _read_line(self, types: bytes) -> bytes | None:
        """Read a line that begins with one of these types, which is checked before the line is complete."""
        data, start = self._data, self._position
        if start >= len(data):
            return None
        if data[start] not in types:
            raise ProtocolError("an unexpected type")
        max_bytes = MAX_HEADER_BYTES if data[start] in b"$*" else MAX_LINE_BYTES
        end = data.find(b"\r\n", start, start + max_bytes)
        if end < 0:
            if len(data) - start >= max_bytes:
                raise ProtocolError("a line without an end")
            return None
        self._position = end + 2
        return data[start:end]

    @staticmethod
    def _parse_number(line: bytes, maximum: int) -> int:
        if not line[1:].isdigit() or (number := int(line[1:])) > maximum:
            raise ProtocolError("a count or length out of range")
        return number
