"""The bench's own processes."""

import pytest

from rushroad.bench.commands import GetStats, StandInAddresses, StandInStats
from rushroad.bench.worker import Worker


@pytest.mark.usefixtures("addresses")
def test_the_process_ends_when_its_input_does(stand_ins: Worker) -> None:
    assert stand_ins.process.stdin is not None
    stand_ins.process.stdin.close()
    assert stand_ins.process.wait(30) == 0


def test_a_command_to_a_process_that_has_ended_is_an_error(stand_ins: Worker) -> None:
    with pytest.raises(RuntimeError, match="has ended with 1"):
        stand_ins.call(GetStats(), StandInStats)  # before StartStandIns: the process ends


def test_a_reply_is_read_as_its_type(addresses: StandInAddresses) -> None:
    assert addresses.first_rate_server.startswith("127.64.0.0:")
