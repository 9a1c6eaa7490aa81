"""Planted mistakes in the desk and the dispatcher, each to be caught."""

import contextlib
from unittest import mock

from godwitloft.agent import dispatcher as dispatchers
from godwitloft.agent import run_ids
from godwitloft.entry import answers
from godwitloft.entry import bidding
from godwitloft.entry import desk as desks
from godwitloft.links.generated.messages import ttypes
from godwitloft.policy import types

Desk = desks.Desk
Dispatcher = dispatchers.Dispatcher
RunIds = run_ids.RunIds


def dispatch_without_commit(bidding_of_desk, request):
    """A dispatched request stays in the queue and may be pulled again."""


def restart_ignored(desk, request, incarnation):
    request.link_lost_ms = None
    query = ttypes.Query(request.run_id, request.next_sequence)
    desk.send(request.agent, "query", query)


def forgotten_as_never_started(dispatcher, run):
    dispatcher.runs.pop(run.run_id, None)
    dispatcher.dirty.pop(run.run_id, None)


def lost_runs_again(desk, request, message):
    request.position.feed("run_again")
    desk.run_again(request, "agent_lost")


def retried_unmarked(desk, request, reason):
    request.position.feed("run_again")
    desk.limits.ended(request.call.team)
    desk.run_again(request, reason)


def lost_refused(desk, request, message):
    request.position.feed("never_started")
    desk.refuse(request, answers.Refused(answers.Reason.NO_UPSTREAM, message))


plain_on_dispatch = Dispatcher.on_dispatch
plain_run_of = Desk.run_of
plain_on_chunk = Desk.on_chunk
plain_on_query = Dispatcher.on_query


def repeated_dispatch_starts(dispatcher, peer, body):
    if dispatcher.runs.pop(body.request_id, None) is not None:
        dispatcher.pulls[body.request_id] = dispatcher.clock.monotonic_ms()
    plain_on_dispatch(dispatcher, peer, body)


def stray_dispatch_starts(dispatcher, peer, body):
    run_id = body.request_id
    dispatcher.ids.tombstones.pop(run_id, None)
    held = (dispatcher.runs, dispatcher.ids.forgotten, dispatcher.pulls)
    if not any(run_id in one for one in held):
        now_ms = dispatcher.clock.monotonic_ms()
        offer = types.Offer(run_id, peer, 0, "t", 1, "s", 1, 1, 1, (), "f")
        dispatcher.state.pulled(offer, (), now_ms)
        dispatcher.pulls[run_id] = now_ms
    plain_on_dispatch(dispatcher, peer, body)


def query_of_own_only(dispatcher, peer, body):
    run = dispatcher.runs.get(body.request_id)
    if run is not None and run.entry != peer:
        answer = ttypes.QueryAnswer(body.request_id, "never_started")
        dispatcher.send(peer, "query_answer", answer)
        return
    plain_on_query(dispatcher, peer, body)


def only_what_is_kept(ids, run_id):
    return run_id in ids.forgotten


def old_run_heard(desk, peer, run_id, message):
    request = desk.requests.get(run_id.partition(".")[0])
    return request if request and request.agent else None


def chunk_order_ignored(desk, request, chunk):
    request.next_sequence = chunk.sequence
    plain_on_chunk(desk, request, chunk)


def answer_unchecked(desk, request, body):
    request.tell_rest(body)
    request.position.feed("completed")
    desk.end(request)
    request.answer(answers.Complete())


MUTANTS = {
    "dispatched request stays in the queue": (
        (bidding.Bidding, "leave_queue", dispatch_without_commit),
    ),
    "tombstone forgotten": ((RunIds, "bury", lambda self, run_id: None),),
    "agent's restart ignored": ((Desk, "ask_after", restart_ignored),),
    "forgotten run said never started": (
        (Dispatcher, "forget", forgotten_as_never_started),
    ),
    "run of another entry said never started": (
        (Dispatcher, "on_query", query_of_own_only),
    ),
    "dropped ids said never started": (
        (RunIds, "may_have_run", only_what_is_kept),
    ),
    "lost run runs again": ((Desk, "lose", lost_runs_again),),
    "lost run refused as not run": ((Desk, "lose", lost_refused),),
    "repeated dispatch starts": (
        (Dispatcher, "on_dispatch", repeated_dispatch_starts),
    ),
    "stray dispatch starts": (
        (Dispatcher, "on_dispatch", stray_dispatch_starts),
    ),
    "every call retried": ((Desk, "may_retry", lambda self, request: True),),
    "retried call refused as not run": ((Desk, "retry", retried_unmarked),),
    "frames of an old run heard, digest ignored": (
        (Desk, "run_of", old_run_heard),
        (Desk, "complete", answer_unchecked),
    ),
    "order of frames ignored": ((Desk, "on_chunk", chunk_order_ignored),),
    "leaving agent pulls": ((Dispatcher, "drain", lambda self: None),),
    "deadline ignored": ((Desk, "on_deadline", lambda self, request: None),),
}


@contextlib.contextmanager
def planted(name):
    """Plants a mutant for a while; an empty name plants none."""
    with contextlib.ExitStack() as stack:
        for owner, method, replacement in MUTANTS.get(name, ()):
            stack.enter_context(mock.patch.object(owner, method, replacement))
        yield
