"""Mutants of request manager and dispatcher that the tests must detect."""

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


def keep_in_queue(bidding_of_entry, request):
    """Keeps a dispatched request in the queue, so it may be pulled again."""


def ignore_restart(manager, request, incarnation):
    request.link_lost_ms = None
    query = ttypes.Query(request.run_id, request.next_sequence)
    manager.send(request.agent, "query", query)


def forget_without_record(dispatcher, run):
    dispatcher.runs.pop(run.run_id, None)
    dispatcher.dirty.pop(run.run_id, None)


def run_lost_again(manager, request, message):
    request.position.feed("run_again")
    manager.requeue(request, "agent_lost")


def retry_without_mark(manager, request, reason):
    request.position.feed("run_again")
    manager.limits.remove_running(request.call.team)
    manager.requeue(request, reason)


def refuse_lost(manager, request, message):
    request.position.feed("never_started")
    manager.refuse(
        request, answers.Refused(answers.Reason.NO_UPSTREAM, message)
    )


original_on_dispatch = Dispatcher.on_dispatch
original_request_of_run = RequestManager.request_of_run
original_on_chunk = RequestManager.on_chunk
original_on_query = Dispatcher.on_query


def start_repeated_dispatch(dispatcher, peer, body):
    if dispatcher.runs.pop(body.request_id, None) is not None:
        dispatcher.pulls[body.request_id] = dispatcher.clock.monotonic_ms()
    original_on_dispatch(dispatcher, peer, body)


def start_stray_dispatch(dispatcher, peer, body):
    run_id = body.request_id
    dispatcher.ids.tombstones.pop(run_id, None)
    known_ids = (dispatcher.runs, dispatcher.ids.ended, dispatcher.pulls)
    if not any(run_id in ids for ids in known_ids):
        now_ms = dispatcher.clock.monotonic_ms()
        offer = types.Offer(run_id, peer, 0, "t", 1, "s", 1, 1, 1, (), "f")
        dispatcher.state.record_pull(offer, (), now_ms)
        dispatcher.pulls[run_id] = now_ms
    original_on_dispatch(dispatcher, peer, body)


def deny_runs_of_other_entries(dispatcher, peer, body):
    run = dispatcher.runs.get(body.request_id)
    if run is not None and run.entry != peer:
        answer = ttypes.QueryAnswer(body.request_id, "never_started")
        dispatcher.send(peer, "query_answer", answer)
        return
    original_on_query(dispatcher, peer, body)


def ignore_expired_ids(ids, run_id):
    return run_id in ids.ended


def accept_old_run_messages(manager, peer, run_id, message):
    request = manager.requests.get(run_id.partition(".")[0])
    return request if request and request.agent else None


def ignore_chunk_order(manager, request, chunk):
    request.next_sequence = chunk.sequence
    original_on_chunk(manager, request, chunk)


def skip_digest_check(manager, request, body):
    request.send_rest(body)
    request.position.feed("completed")
    manager.finish(request)
    request.answer(answers.Complete())


MUTANTS = {
    "dispatched request stays in the queue": (
        (bidding.Bidding, "dequeue", keep_in_queue),
    ),
    "tombstone forgotten": (
        (RunIds, "add_tombstone", lambda self, run_id: None),
    ),
    "agent's restart ignored": (
        (RequestManager, "query_run", ignore_restart),
    ),
    "forgotten run reported never started": (
        (Dispatcher, "forget", forget_without_record),
    ),
    "run of another entry reported never started": (
        (Dispatcher, "on_query", deny_runs_of_other_entries),
    ),
    "dropped ids reported never started": (
        (RunIds, "may_have_run", ignore_expired_ids),
    ),
    "lost run runs again": ((RequestManager, "on_run_lost", run_lost_again),),
    "lost run refused as not run": (
        (RequestManager, "on_run_lost", refuse_lost),
    ),
    "repeated dispatch starts": (
        (Dispatcher, "on_dispatch", start_repeated_dispatch),
    ),
    "stray dispatch starts": (
        (Dispatcher, "on_dispatch", start_stray_dispatch),
    ),
    "every call retried": (
        (RequestManager, "take_retry", lambda self, request: True),
    ),
    "retried call refused as not run": (
        (RequestManager, "retry", retry_without_mark),
    ),
    "chunks of an old run accepted, digest ignored": (
        (RequestManager, "request_of_run", accept_old_run_messages),
        (RequestManager, "complete", skip_digest_check),
    ),
    "order of chunks ignored": (
        (RequestManager, "on_chunk", ignore_chunk_order),
    ),
    "draining agent pulls": ((Dispatcher, "drain", lambda self: None),),
    "deadline ignored": (
        (RequestManager, "on_deadline", lambda self, request: None),
    ),
}


@contextlib.contextmanager
def apply_mutant(name):
    """Applies a mutant in a context; an empty name applies none."""
    with contextlib.ExitStack() as stack:
        for owner, method, replacement in MUTANTS.get(name, ()):
            stack.enter_context(mock.patch.object(owner, method, replacement))
        yield
