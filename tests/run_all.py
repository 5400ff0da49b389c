"""Runs all tests and closes with one line that counts them."""

from __future__ import annotations

import json
import re
import subprocess
import sys
import tempfile
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
PYTEST_COUNT = re.compile(r"(\d+) (passed|failed|errors?)\b")


def run_pytest() -> tuple[int, int, bool]:
    """Run pytest.

    :return: Tests passed, tests failed, and whether the exit status was 0.
    """
    result = subprocess.run(
        [sys.executable, "-m", "pytest", "-q", "--no-header"],
        cwd=ROOT,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
        check=False,
    )
    print(result.stdout, flush=True)
    lines = result.stdout.strip().splitlines()
    counts = {name: int(n) for n, name in PYTEST_COUNT.findall(lines[-1] if lines else "")}
    failed = counts.get("failed", 0) + counts.get("error", 0) + counts.get("errors", 0)
    return counts.get("passed", 0), failed, result.returncode == 0


def run_behave() -> tuple[int, int, bool]:
    """Run the scenarios.

    :return: Scenarios passed, scenarios failed, and whether the exit status was 0.
    """
    with tempfile.TemporaryDirectory() as directory:
        report = Path(directory) / "report.json"
        command = [sys.executable, "-m", "behave", "--no-color", "--logging-level=WARNING"]
        command += ["-f", "json", "-o", str(report), "-f", "progress", "features"]
        result = subprocess.run(command, cwd=ROOT, check=False)
        features = json.loads(report.read_text()) if report.exists() else []
    statuses = [
        element.get("status")
        for feature in features
        for element in feature.get("elements", [])
        if element["type"] == "scenario"
    ]
    passed = statuses.count("passed")
    return passed, len(statuses) - passed, result.returncode == 0


def main() -> int:
    """Run everything and return the exit status."""
    results = [run_pytest(), run_behave()]
    passed = sum(r[0] for r in results)
    failed = sum(r[1] for r in results)
    print(f"{passed} passed, {failed} failed")
    return 0 if failed == 0 and all(r[2] for r in results) else 1


if __name__ == "__main__":
    sys.exit(main())
