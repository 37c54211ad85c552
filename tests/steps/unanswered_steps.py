"""Steps about workers that answer only some kinds of calls."""

from __future__ import annotations

from behave import step

_PATH_BY_KIND = {
    "polls": "/v1/hold",
    "starts": "/v1/run-start",
    "stops": "/v1/run-stop",
    "speed limits": "/v1/pace",
}


@step("{name}'s VM ignores {kind}")
def ignore_calls(context, name, kind):
    worker = context.world.cell.worker_by_name[name]
    worker.ignored_paths.add(_PATH_BY_KIND[kind])


@step("{name}'s VM no longer ignores {kind}")
def accept_calls(context, name, kind):
    worker = context.world.cell.worker_by_name[name]
    worker.ignored_paths.remove(_PATH_BY_KIND[kind])


@step("{name}'s VM leaves {kind} unanswered")
def leave_unanswered(context, name, kind):
    worker = context.world.cell.worker_by_name[name]
    worker.unanswered_paths.add(_PATH_BY_KIND[kind])
