"""Reports of measurements that run one area at a time."""

from __future__ import annotations

import pytest
from pydantic_core import from_json

from hyssopway_standins.measure import report
from hyssopway_standins.measure.measurement import Measurement, Series


def make_measurement(area, *, value=1.0):
    line = Series(name="line", x_label="load", y_label="s", points=[(0.0, value), (1.0, value)])
    return Measurement(area=area, figures={"figure s": value}, series=[line])


@pytest.fixture
def write(tmp_path, monkeypatch):
    def write(*measurements, commit="abc", seed=1):
        monkeypatch.setattr(report, "_commit", lambda: commit)
        report.write_report(folder=tmp_path, measurements=measurements, seed=seed)
        results = from_json((tmp_path / "results.json").read_bytes())
        return {item["area"]: item["figures"]["figure s"] for item in results["measurements"]}

    return write


def test_areas_measured_before_are_kept(write, tmp_path):
    """Guards against results of a second area that replace those of the first."""
    write(make_measurement("requests"))
    assert write(make_measurement("jobs")) == {"requests": 1.0, "jobs": 1.0}
    page = (tmp_path / "report.md").read_text()
    assert "## requests" in page
    assert "## jobs" in page
    assert (tmp_path / "requests-1.png").exists()


def test_area_measured_again_is_replaced(write):
    """Guards against a report with two results of the same area."""
    write(make_measurement("jobs", value=1.0))
    assert write(make_measurement("jobs", value=2.0)) == {"jobs": 2.0}


@pytest.mark.parametrize("other", [{"commit": "def"}, {"seed": 2}])
def test_results_of_other_code_or_another_seed_are_not_mixed_in(write, other):
    """Guards against a report that mixes results of different commits or seeds."""
    write(make_measurement("requests"))
    assert write(make_measurement("jobs"), **other) == {"jobs": 1.0}


def test_unreadable_results_are_replaced(write, tmp_path):
    """Guards against a failure to write a report after an earlier write was interrupted."""
    (tmp_path / "results.json").write_text('{"origin": ')
    assert write(make_measurement("jobs")) == {"jobs": 1.0}
