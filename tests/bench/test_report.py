"""The table and the line of JSON of an experiment, and the line through its points."""

import io
from pathlib import Path

import msgspec
import pytest

from rushroad.bench.report import Run, commit, fit_line, table
from rushroad.bench.rows import Row


class MeanRow(Row, frozen=True, kw_only=True):
    mean: float


def test_the_line_through_points_on_a_line_explains_all_of_them() -> None:
    line = fit_line([(1.0, 5.0), (2.0, 7.0), (4.0, 11.0)])
    assert (line.slope, line.intercept, line.r2) == pytest.approx((2.0, 3.0, 1.0))


def test_points_off_the_line_explain_less() -> None:
    assert fit_line([(0.0, 0.0), (1.0, 1.0), (2.0, 0.0)]).r2 == pytest.approx(0.0)
    assert fit_line([(0.0, 4.0), (1.0, 4.0)]).r2 == 1.0


@pytest.mark.parametrize("points", [[], [(1.0, 1.0)], [(1.0, 1.0), (1.0, 2.0)]])
def test_too_few_points_for_a_line_are_an_error(points: list[tuple[float, float]]) -> None:
    with pytest.raises(ValueError, match="no line"):
        fit_line(points)


def test_rows_with_different_columns_make_one_table() -> None:
    assert table([{"servers": 97000, "us": 1.23456}, {"servers": 40, "note": "sampled"}]).splitlines() == [
        "servers     us     note",
        " 97,000  1.235         ",
        "     40         sampled",
    ]
    assert table([]) == ""


def test_a_run_writes_all_that_made_it_in_one_line(capsys: pytest.CaptureFixture[str]) -> None:
    run, out = Run("spread", 7, {"sizes": ["200/200"]}), io.StringIO()
    run.add_row(MeanRow(mean=0.5))
    run.write_results(out)
    assert "mean" in capsys.readouterr().out
    (line,) = out.getvalue().splitlines()
    record = msgspec.json.decode(line)
    assert set(record) == {"experiment", "seed", "parameters", "rows", "commit", "machine"}
    assert (record["seed"], record["rows"]) == (7, [{"mean": 0.5}])
    assert set(record["machine"]) == {"cores", "python", "load"}


def test_outside_a_checkout_the_commit_is_unknown(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.chdir(tmp_path)
    assert commit() == "unknown"
