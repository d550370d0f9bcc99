"""Results of measurements that are run area by area."""

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
    """Guards against a second area whose results replace those of the first."""
    write(make_measurement("requests"))
    assert write(make_measurement("jobs")) == {"requests": 1.0, "jobs": 1.0}
    page = (tmp_path / "report.md").read_text()
    assert "## requests" in page
    assert "## jobs" in page
    assert (tmp_path / "requests-1.png").exists()


def test_area_measured_again_is_replaced(write):
    """Guards against two results of one area in a report."""
    write(make_measurement("jobs", value=1.0))
    assert write(make_measurement("jobs", value=2.0)) == {"jobs": 2.0}


@pytest.mark.parametrize("other", [{"commit": "def"}, {"seed": 2}])
def test_results_of_other_code_or_another_seed_are_not_mixed_in(write, other):
    """Guards against a page that shows figures of two programs as those of one."""
    write(make_measurement("requests"))
    assert write(make_measurement("jobs"), **other) == {"jobs": 1.0}


def test_unreadable_results_are_replaced(write, tmp_path):
    """Guards against a measurement that is lost because an earlier one was cut off while it was written."""
    (tmp_path / "results.json").write_text('{"origin": ')
    assert write(make_measurement("jobs")) == {"jobs": 1.0}
