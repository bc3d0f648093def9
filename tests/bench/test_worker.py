"""Tests of the bench's worker processes."""

import pytest

from rushroad.bench.commands import GetStats, StandInAddresses, StandInStats
from rushroad.bench.worker import Worker


@pytest.mark.usefixtures("addresses")
def test_a_worker_exits_when_its_input_is_closed(stand_ins: Worker) -> None:
    assert stand_ins.process.stdin is not None
    stand_ins.process.stdin.close()
    assert stand_ins.process.wait(30) == 0


def test_a_command_to_a_worker_that_exits_is_an_error(stand_ins: Worker) -> None:
    with pytest.raises(RuntimeError, match="exited with status 1"):
        # The process exits, because its first command must be StartStandIns.
        stand_ins.call(GetStats(), StandInStats)


def test_a_reply_is_decoded_as_its_type(addresses: StandInAddresses) -> None:
    assert addresses.first_rate_server.startswith("127.64.0.0:")
