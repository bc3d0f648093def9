"""Tables, JSON records and fitted lines."""

import io
from pathlib import Path

import msgspec
import pytest

from rushroad.bench.report import Run, commit, fit_line, format_table
from rushroad.bench.rows import Row


class MeanRow(Row, frozen=True, kw_only=True):
    mean: float


def test_line_through_collinear_points_has_an_r2_of_1() -> None:
    line = fit_line([(1.0, 5.0), (2.0, 7.0), (4.0, 11.0)])
    assert (line.slope, line.intercept, line.r2) == pytest.approx((2.0, 3.0, 1.0))


def test_r2_is_0_for_unrelated_points_and_1_for_a_constant() -> None:
    assert fit_line([(0.0, 0.0), (1.0, 1.0), (2.0, 0.0)]).r2 == pytest.approx(0.0)
    assert fit_line([(0.0, 4.0), (1.0, 4.0)]).r2 == 1.0


@pytest.mark.parametrize("points", [[], [(1.0, 1.0)], [(1.0, 1.0), (1.0, 2.0)]])
def test_fit_without_two_different_x_is_an_error(points: list[tuple[float, float]]) -> None:
    with pytest.raises(ValueError, match="cannot fit a line"):
        fit_line(points)


def test_table_has_the_columns_of_all_rows() -> None:
    assert format_table(
        [{"servers": 97000, "us": 1.23456}, {"servers": 40, "note": "sampled"}]
    ).splitlines() == [
        "servers     us     note",
        " 97,000  1.235         ",
        "     40         sampled",
    ]
    assert format_table([]) == ""


def test_run_is_written_as_one_line_with_its_inputs_and_machine(capsys: pytest.CaptureFixture[str]) -> None:
    run, out = Run("spread", 7, {"sizes": ["200/200"]}), io.StringIO()
    run.add_row(MeanRow(mean=0.5))
    run.write_results(out)
    assert "mean" in capsys.readouterr().out
    (line,) = out.getvalue().splitlines()
    record = msgspec.json.decode(line)
    assert set(record) == {"experiment", "seed", "parameters", "rows", "commit", "machine"}
    assert (record["seed"], record["rows"]) == (7, [{"mean": 0.5}])
    assert set(record["machine"]) == {"cores", "python", "load"}


def test_commit_outside_of_git_is_unknown(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.chdir(tmp_path)
    assert commit() == "unknown"
