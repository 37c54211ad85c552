"""Steps on daemons that run as separate processes."""

from __future__ import annotations

import json

from behave import given, then, when

from tests.support.processes import Launcher


@given("a table, two entries, two upstreams and one worker as processes")
def start_processes(context):
    launcher = context.launcher = Launcher()
    context.closers.append(launcher.close)
    launcher.start_stand_in("table", "table")
    launcher.start_stand_in("worker", "worker-1/vm")
    for number in (1, 2):
        launcher.start_stand_in("upstream", f"instance-{number}/vm")
        launcher.start_daemon(f"entry-{number}", {"role": "entry"})
    for number in (1, 2):
        port = launcher.port_by_name[f"instance-{number}/vm"]
        settings = {"role": "upstream", "slots": 8, "connections": 64}
        settings["upstream"] = f"127.0.0.1:{port}"
        launcher.start_daemon(f"instance-{number}", settings)
    port = launcher.port_by_name["worker-1/vm"]
    launcher.start_daemon(
        "worker-1", {"role": "worker", "control": f"127.0.0.1:{port}"}
    )
    for number in (1, 2):
        launcher.wait_until(
            f"entry-{number} knows all daemons",
            lambda number=number: len(_known_daemons(launcher, f"entry-{number}")) >= 4,
        )
        launcher.wait_until(
            f"entry-{number} is healthy",
            lambda number=number: _is_healthy(launcher, f"entry-{number}"),
        )


@when('the operator gives customer "{customer}" the plan "{plan}"')
def give_plan(context, customer, plan):
    allowance = f"{{{plan}: {{processors: 8, memory_gb: 32}}}}"
    _edit(context, "allowances", allowance)
    _edit(context, "plans", f"{{{customer}: {plan}}}")


@when('the operator removes the plan of customer "{customer}"')
def remove_plan(context, customer):
    _edit(context, "plans", f"{{{customer}: null}}")


@then("every daemon has lists version {version:d} in force")
def check_versions(context, version):
    launcher = context.launcher
    for entry in ("entry-1", "entry-2"):
        launcher.wait_until(
            f"all daemons have version {version} according to {entry}",
            lambda entry=entry: all(
                daemon["lists_version"] == version
                for daemon in _known_daemons(launcher, entry)
            ),
        )


@when('"{customer}" sends quote-check "{key}" to {entry}')
def send_request(context, customer, key, entry):
    headers = {"X-Customer": customer, "Idempotency-Key": key}
    context.answer = context.launcher.send(
        entry, "POST", "/requests/quote-check", headers, f"price of {key}".encode()
    )


@then('the answer is {status:d} "{body}"')
def check_answer(context, status, body):
    assert context.answer is not None, "no answer"
    assert (context.answer.status, context.answer.body) == (status, body), (
        context.answer
    )


@then('the answer is {status:d} and contains "{text}"')
def check_refusal(context, status, text):
    assert context.answer is not None, "no answer"
    assert context.answer.status == status, context.answer
    assert text in context.answer.body, context.answer


@when('"{customer}" submits the task "{task}" to {entry}')
def submit_task(context, customer, task, entry):
    body = {"id": task, "kind": "basket-rebuild", "processors": 2, "memory_gb": 4}
    body["runtime_s"] = 0.3
    answer = context.launcher.send(
        entry, "POST", "/tasks", {"X-Customer": customer}, json.dumps(body).encode()
    )
    assert answer is not None and answer.status == 202, answer


@then('the task "{task}" of "{customer}" is finished according to {entry}')
def check_task(context, task, customer, entry):
    def is_finished():
        answer = context.launcher.send(
            entry, "GET", f"/tasks/{task}", {"X-Customer": customer}, b""
        )
        return answer is not None and json.loads(answer.body)["state"] == "finished"

    context.launcher.wait_until(f"{task} is finished", is_finished)


@then('"explain {subject}" at {entry} cites the plan "{plan}"')
def check_explain(context, subject, entry, plan):
    port = context.launcher.port_by_name[entry]
    result = context.launcher.run_cli(
        "explain", subject, "--entry", f"127.0.0.1:{port}"
    )
    assert result.returncode == 0, result.stderr
    assert "place: worker-1 attempt 1" in result.stdout, result.stdout
    assert f"= {plan}; allowances@" in result.stdout, result.stdout


@when('the processes "{first}" and "{second}" are killed')
def kill_processes(context, first, second):
    context.launcher.kill(first)
    context.launcher.kill(second)


def _known_daemons(launcher, entry):
    answer = launcher.send(entry, "GET", "/status", {}, b"")
    return [] if answer is None else json.loads(answer.body)["daemons"]


def _is_healthy(launcher, entry):
    answer = launcher.send(entry, "GET", "/health", {}, b"")
    return answer is not None and answer.status == 200


def _edit(context, name, change):
    port = context.launcher.port_by_name["entry-1"]
    result = context.launcher.run_cli(
        "lists", "edit", name, change, "--entry", f"127.0.0.1:{port}"
    )
    assert result.returncode == 0, result.stdout + result.stderr
