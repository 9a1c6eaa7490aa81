"""Finds streams that were joined from two software versions of runners."""

from bench.soak import history as histories
from bench.soak import site

# Of the users' rule.
MAX_JOINED = 2


def find_joined_streams(history: histories.History) -> list[str]:
    """Reports streams that went on at another version than they began at.

    :param history: what callers and runners observed
    :return: one breach if there were more than :data:`MAX_JOINED`
    """
    joined = {
        record.resumes or record.id
        for record in history.records
        if record.route in site.RESUMABLE_ROUTES
        and record.status == 200
        and record.body
        and went_on_elsewhere(history, record.resumes or record.id, record.id)
    }
    if len(joined) <= MAX_JOINED:
        return []
    return [f"{len(joined)} streams were joined: {sorted(joined)[:5]}"]


def went_on_elsewhere(
    history: histories.History, first_id: str, request_id: str
) -> bool:
    """Returns whether a request's stream went on at another version.

    :param history: what callers and runners observed
    :param first_id: request that brought the first event of the stream
    :param request_id: that request, or one that took the stream up again
    """
    began = [run for run in history.runs_of[first_id] if not run.last_event]
    if not began:
        return False
    version = began[-1].version
    return any(
        run.last_event and run.version != version
        for run in history.runs_of[request_id]
    )
