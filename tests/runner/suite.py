"""The scenarios of the suite, as behave reads them."""

from __future__ import annotations

from collections.abc import Sequence
from functools import partial
from pathlib import Path
from typing import Any

from behave.configuration import Configuration
from behave.formatter._registry import make_formatters
from behave.model import Scenario
from behave.model_type import FileLocation, Status
from behave.parser import parse_file
from behave.runner import Context, Runner
from behave.runner_util import (
    FeatureScenarioLocationCollector2,
    collect_feature_locations,
    parse_features,
)

from tests.runner.jobs import ALL_SLOTS, Job, JobKind, Verdict

__all__ = ["Suite", "read_names"]

# Scenarios in folders of this name start real programs, which need processors when
# they need them.
_REAL_PROGRAMS_FOLDER = "processes"
_REAL_PROGRAMS_SLOTS = 2
# Scenarios in folders of this name measure what a process holds beside a crowd.
_CROWDS_FOLDER = "clients"
_FORMAT = "plain"
_OPTIONS = ("--no-capture", "--no-summary", "--no-skipped")


def read_names(folder: Path) -> set[str]:
    """Return the names of all scenarios in `folder`."""
    features = parse_features(collect_feature_locations([str(folder)]))
    return {
        scenario.name for feature in features for scenario in feature.walk_scenarios()
    }


def _count_slots(folder: str) -> int:
    """Return how many slots the scenarios in a folder take."""
    if folder == _CROWDS_FOLDER:
        return ALL_SLOTS
    return _REAL_PROGRAMS_SLOTS if folder == _REAL_PROGRAMS_FOLDER else 1


class Suite:
    """Steps and scenarios, loaded once; each scenario then runs in a fork.

    Parameters
    ----------
    arguments : Sequence[str]
        Paths and options of behave.
    """

    def __init__(self, arguments: Sequence[str]) -> None:
        # behave is untyped.
        self._config: Any = Configuration([*_OPTIONS, *arguments])
        self._runner: Any = Runner(self._config)
        self._runner.path_manager.__enter__()
        self._runner.setup_paths()
        self._runner.load_hooks()
        self._runner.load_step_definitions()

    @property
    def base_folder(self) -> Path:
        """Return the folder that holds the steps."""
        return Path(self._runner.base_dir)

    def read_jobs(self) -> list[Job]:
        """Return a job for each selected scenario, in the order of the files."""
        locations = [
            location
            for location in self._runner.feature_locations()
            if not self._config.exclude(location)
        ]
        return [
            self._make_job(scenario)
            for feature in parse_features(locations, language=self._config.lang)
            for scenario in feature.walk_scenarios()
            if scenario.status is not Status.skipped
        ]

    def _make_job(self, scenario: Scenario) -> Job:
        path = Path(scenario.filename)
        return Job(
            kind=JobKind.SCENARIO,
            name=scenario.name,
            place=f"{path}:{scenario.line}",
            run=partial(self._run, str(path), scenario.line),
            slots=_count_slots(path.parent.name),
        )

    def _run(self, path: str, line: int) -> Verdict:
        """Run one scenario; only a forked process may do it, since it leaves traces."""
        collector = FeatureScenarioLocationCollector2(parse_file(path))
        collector.add_location(FileLocation(path, line))
        feature = collector.build_feature()
        self._config.format = [_FORMAT]
        self._runner.context = Context(self._runner)
        self._runner.formatters = make_formatters(self._config, [])
        is_failed = self._runner.run_model([feature])
        scenarios = feature.walk_scenarios()
        status = next(each.status for each in scenarios if each.line == line)
        if is_failed:
            return Verdict.FAILED
        if status in (Status.skipped, Status.untested):
            return Verdict.SKIPPED
        return Verdict.PASSED if status is Status.passed else Verdict.FAILED
