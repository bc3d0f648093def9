"""ArrivalTimes: arrival times of bytes read after a pause, and the memory that the records take."""

import pytest

from rushroad.proxy.arrival_times import CATCH_UP_TIME_S, LARGE_READ_BYTES, ArrivalTimes


@pytest.fixture
def arrivals() -> ArrivalTimes:
    return ArrivalTimes()


def test_bytes_read_after_a_pause_count_from_its_start(arrivals: ArrivalTimes) -> None:
    arrivals.record(10, 1.0)
    arrivals.reading_paused(2.0)
    arrivals.reading_resumed(readable=True)
    arrivals.record(10, 5.0)  # counts from 2.0, whenever it is read
    arrivals.reading_paused(5.01)  # before the rest of the backlog has been read
    arrivals.reading_resumed(readable=True)
    arrivals.record(LARGE_READ_BYTES, 6.0)
    arrivals.record(10, 6.0 + CATCH_UP_TIME_S)  # may come from the kernel's or the peer's buffer
    arrivals.record(10, 6.1 + CATCH_UP_TIME_S)  # too late to belong to the backlog
    ends = [10, 20, 20 + LARGE_READ_BYTES, 30 + LARGE_READ_BYTES, 40 + LARGE_READ_BYTES]
    assert [arrivals.arrival_of(end) for end in ends] == [1.0, 2.0, 2.0, 2.0, 6.1 + CATCH_UP_TIME_S]


def test_bytes_after_a_pause_without_a_backlog_count_from_their_read(arrivals: ArrivalTimes) -> None:
    arrivals.reading_paused(2.0)
    arrivals.reading_resumed(readable=False)
    arrivals.record(10, 5.0)
    assert arrivals.arrival_of(10) == 5.0


def test_byte_by_byte_input_takes_bounded_memory(arrivals: ArrivalTimes) -> None:
    for number in range(10_000):
        arrivals.record(1, number * 1e-4)
    assert len(arrivals._entries) <= 201
    assert arrivals.arrival_of(10_000) <= 1.0
