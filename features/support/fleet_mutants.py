"""Faults planted in the request manager and the dispatcher."""

import contextlib
from unittest import mock

from godwitloft.agent import dispatcher as dispatchers
from godwitloft.agent import run_ids
from godwitloft.entry import answers
from godwitloft.entry import bidding
from godwitloft.entry import request_manager as request_managers
from godwitloft.links.generated.messages import ttypes
from godwitloft.policy import types

RequestManager = request_managers.RequestManager
Dispatcher = dispatchers.Dispatcher
RunIds = run_ids.RunIds


def dispatch_without_commit(bidding_of_entry, request):
    """A dispatched request stays in the queue and may be pulled again."""


def restart_ignored(manager, request, incarnation):
    request.link_lost_ms = None
    query = ttypes.Query(request.run_id, request.next_sequence)
    manager.send(request.agent, "query", query)


def forgotten_as_never_started(dispatcher, run):
    dispatcher.runs.pop(run.run_id, None)
    dispatcher.dirty.pop(run.run_id, None)


def lost_runs_again(manager, request, message):
    request.position.feed("run_again")
    manager.requeue(request, "agent_lost")


def retried_unmarked(manager, request, reason):
    request.position.feed("run_again")
    manager.limits.remove_running(request.call.team)
    manager.requeue(request, reason)


def lost_refused(manager, request, message):
    request.position.feed("never_started")
    manager.refuse(
        request, answers.Refused(answers.Reason.NO_UPSTREAM, message)
    )


plain_on_dispatch = Dispatcher.on_dispatch
plain_request_of_run = RequestManager.request_of_run
plain_on_chunk = RequestManager.on_chunk
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


def old_run_heard(manager, peer, run_id, message):
    request = manager.requests.get(run_id.partition(".")[0])
    return request if request and request.agent else None


def chunk_order_ignored(manager, request, chunk):
    request.next_sequence = chunk.sequence
    plain_on_chunk(manager, request, chunk)


def answer_unchecked(manager, request, body):
    request.send_rest(body)
    request.position.feed("completed")
    manager.finish(request)
    request.answer(answers.Complete())


MUTANTS = {
    "dispatched request stays in the queue": (
        (bidding.Bidding, "dequeue", dispatch_without_commit),
    ),
    "tombstone forgotten": ((RunIds, "bury", lambda self, run_id: None),),
    "agent's restart ignored": (
        (RequestManager, "query_run", restart_ignored),
    ),
    "forgotten run said never started": (
        (Dispatcher, "forget", forgotten_as_never_started),
    ),
    "run of another entry said never started": (
        (Dispatcher, "on_query", query_of_own_only),
    ),
    "dropped ids said never started": (
        (RunIds, "may_have_run", only_what_is_kept),
    ),
    "lost run runs again": ((RequestManager, "on_run_lost", lost_runs_again),),
    "lost run refused as not run": (
        (RequestManager, "on_run_lost", lost_refused),
    ),
    "repeated dispatch starts": (
        (Dispatcher, "on_dispatch", repeated_dispatch_starts),
    ),
    "stray dispatch starts": (
        (Dispatcher, "on_dispatch", stray_dispatch_starts),
    ),
    "every call retried": (
        (RequestManager, "take_retry", lambda self, request: True),
    ),
    "retried call refused as not run": (
        (RequestManager, "retry", retried_unmarked),
    ),
    "frames of an old run heard, digest ignored": (
        (RequestManager, "request_of_run", old_run_heard),
        (RequestManager, "complete", answer_unchecked),
    ),
    "order of frames ignored": (
        (RequestManager, "on_chunk", chunk_order_ignored),
    ),
    "leaving agent pulls": ((Dispatcher, "drain", lambda self: None),),
    "deadline ignored": (
        (RequestManager, "on_deadline", lambda self, request: None),
    ),
}


@contextlib.contextmanager
def planted(name):
    """Plants a mutant for a while; an empty name plants none."""
    with contextlib.ExitStack() as stack:
        for owner, method, replacement in MUTANTS.get(name, ()):
            stack.enter_context(mock.patch.object(owner, method, replacement))
        yield
