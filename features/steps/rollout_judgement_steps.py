import dataclasses
import statistics

from behave import given
from behave import then
from behave import when

from features.support import rollout_evidence
from godwitloft.rollouts import judgement
from godwitloft.rollouts import plan
from godwitloft.rollouts import types


@given("{count:d} drawn versions with {load}")
def drawn(context, count, load):
    fields = {
        field.name: type(field.default)
        for field in dataclasses.fields(rollout_evidence.Load)
    }
    pairs = (pair.split("=") for pair in load.split())
    loaded = {name: fields[name](float(value)) for name, value in pairs}
    context.draws = [
        rollout_evidence.Draw(rollout_evidence.Load(**loaded), seed)
        for seed in range(count)
    ]


@when("each is judged again and again")
def judge(context):
    context.judged = [draw.judge() for draw in context.draws]


def found(context, kind):
    return [judged for judged in context.judged if judged.verdict.kind is kind]


@then("at most {most:d} of them is found bad")
def few_bad(context, most):
    bad = found(context, judgement.Kind.BAD)
    assert len(bad) <= most, [judged.verdict.reason for judged in bad]


@then(
    "at least {least:d} of them are found bad, half of them within"
    " {answers:d} bad answers"
)
def most_bad(context, least, answers):
    bad = found(context, judgement.Kind.BAD)
    assert len(bad) >= least, [judged.verdict for judged in context.judged]
    median = statistics.median(judged.bad_answers for judged in bad)
    assert median <= answers, median


@then("at least {least:d} of them are found to have too few answers")
def too_little(context, least):
    little = found(context, judgement.Kind.TOO_LITTLE)
    assert len(little) >= least, [judged.verdict for judged in context.judged]


@then(
    "a version with {answers:d} of {total:d} answers after 0.8 of the time may"
    " get all requests: {may}"
)
def check_unknown(context, answers, total, may):
    rollout = types.Rollout(
        "s", 1, "v2", ("v1",), types.Phase.JUDGING, 0, 10_000
    )
    verdict = judgement.Verdict(
        judgement.Kind.TOO_LITTLE,
        "few",
        inputs={"answers": answers, "former_answers": total - answers},
    )
    progress = plan.Progress(True, exposure_share=0.1, exposure_slack=50)
    found = plan.may_move(rollout, verdict, progress, 8_000)
    assert found == (may == "yes"), found
