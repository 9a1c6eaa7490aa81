"""Judges streams whose end nothing marks.

A stream without a length or chunks ends with its connection. One that was
broken off between two events and one that was done send the same bytes. A
broken stream shows in other ways: its connection is reset, it ends inside an
event, its upstream's process is gone, or another upstream has more events. As
long as nothing of that has been seen, the stream counts as whole: that nobody
could be asked shows nothing.
"""

from godwitloft import answer_end
from godwitloft.gateway import request as requests


def mark(request: requests.Request) -> None:
    """Records that nothing marks whether a request's last event was the last.

    :param request: a request whose attempt has just ended
    """
    request.unmarked_end = answer_end.UnmarkedEnd(
        request.last_event, request.last_upstream_id
    )


def is_at_last_event(request: requests.Request) -> bool:
    """Returns whether a stream ended, without a mark, at its last event.

    :param request: any request
    :return: whether it did and no event has come since
    """
    end = request.unmarked_end
    return end is not None and end.after_event == request.last_event


def has_gone_on(request: requests.Request) -> bool:
    """Returns whether events came after an end without a mark.

    :param request: any request
    """
    return request.unmarked_end is not None and not is_at_last_event(request)


def counts_as_whole(request: requests.Request) -> bool:
    """Returns whether a caller may be told that its stream has ended.

    :param request: a request that isn't sent again
    :return: whether its caller has all events up to an end without a mark,
        and nothing shows that more follow
    """
    answer = request.answer
    return (
        request.exchange.started
        and is_at_last_event(request)
        and answer is not None
        and not answer.shows_more()
    )
