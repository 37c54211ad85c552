"""Steps that run the state machines in `properties`."""

from __future__ import annotations

from behave import then
from hypothesis import HealthCheck, Phase, settings
from hypothesis.stateful import run_state_machine_as_test

from properties import (
    batch_tasks,
    configs,
    evacuated_jobs,
    failing_jobs,
    jobs,
    keyed_requests,
    list_edits,
    paced_jobs,
    parted_jobs,
    planted,
    refused_jobs,
    replaced_jobs,
    silenced_jobs,
    takeovers,
    unstorable_jobs,
)

MACHINE_BY_NAME = {
    "keyed requests": keyed_requests.KeyedRequests,
    "batch tasks": batch_tasks.BatchTasks,
    "jobs": jobs.Jobs,
    "evacuated jobs": evacuated_jobs.EvacuatedJobs,
    "refused jobs": refused_jobs.RefusedJobs,
    "failing jobs": failing_jobs.FailingJobs,
    "paced jobs": paced_jobs.PacedJobs,
    "parted jobs": parted_jobs.PartedJobs,
    "replaced jobs": replaced_jobs.ReplacedJobs,
    "silenced jobs": silenced_jobs.SilencedJobs,
    "unstorable jobs": unstorable_jobs.UnstorableJobs,
    "configs": configs.Configs,
    "list edits": list_edits.ListEdits,
    "takeovers": takeovers.Takeovers,
}
PLANTED_BY_NAME = {
    "answers given up on their way": planted.answers_given_up_on_their_way,
    "holders silent while they load": planted.holders_silent_while_they_load,
    "claims without asking": planted.claims_without_asking,
    "cancel without tombstone": planted.cancel_without_tombstone,
    "earlier calls not fenced off": planted.earlier_calls_not_fenced_off,
    "edits without versions": planted.edits_without_versions,
    "leases beyond what standbys heard": planted.leases_beyond_what_standbys_heard,
    "leases taken unheard": planted.leases_taken_unheard,
    "leases renewed for workers out of reach": planted.leases_renewed_out_of_reach,
    "ledger without bounds": planted.ledger_without_bounds,
    "running tasks loaded as queued": planted.running_tasks_loaded_as_queued,
    "orders lacked and not asked for": planted.orders_lacked_and_not_asked_for,
    "refusals without proof": planted.refusals_without_proof,
    "runs given up early": planted.runs_given_up_early,
    "rejections accepted in any session": planted.rejections_accepted_in_any_session,
    "rejections made once": planted.rejections_made_once,
    "rejections forgotten with the lease": planted.rejections_forgotten_with_the_lease,
    "starts without judgement": planted.starts_without_judgement,
    "refused writes repeated": planted.refused_writes_repeated,
    "timeouts without conclusions": planted.timeouts_without_conclusions,
}

# About one run in a hundred finds a planted fault; the first one ends the search.
_PLANTED_RUNS = 600
_PLANTED_STEPS = 25


@then('the machine "{name}" finds nothing in {runs:d} runs of {steps:d} steps')
def run_machine(context, name, runs, steps):
    run_state_machine_as_test(
        MACHINE_BY_NAME[name], settings=_make_settings(runs, steps)
    )


@then('with the planted fault "{fault}" the machine "{name}" fails')
def run_with_fault(context, fault, name):
    run_with_fault_briefly(context, fault, name, _PLANTED_STEPS)


@then(
    'with the planted fault "{fault}" the machine "{name}" fails in runs of '
    "{steps:d} steps"
)
def run_with_fault_briefly(context, fault, name, steps):
    with PLANTED_BY_NAME[fault]():
        try:
            run_state_machine_as_test(
                MACHINE_BY_NAME[name],
                settings=_make_settings(_PLANTED_RUNS, steps, [Phase.generate]),
            )
        except AssertionError:
            return
    raise AssertionError(f"the oracle did not detect the planted fault {fault!r}")


def _make_settings(runs, steps, phases=(Phase.generate, Phase.shrink)):
    return settings(
        max_examples=runs,
        stateful_step_count=steps,
        phases=phases,
        derandomize=True,
        deadline=None,
        database=None,
        suppress_health_check=list(HealthCheck),
        print_blob=False,
        report_multiple_bugs=False,
    )
