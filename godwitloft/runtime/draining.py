"""Drains a daemon before it stops."""

import dataclasses
import typing

from godwitloft import events
from godwitloft import trace
from godwitloft.runtime import node as nodes
from godwitloft.runtime import polling


@dataclasses.dataclass(frozen=True)
class RemainingWork:
    """The work that a draining daemon still has to finish.

    :param is_finished: returns whether no request remains
    :param count_unfinished: returns how many requests remain
    """

    is_finished: typing.Callable[[], bool]
    count_unfinished: typing.Callable[[], int]


def begin(
    node: nodes.Node,
    recorder: trace.Recorder,
    stop_accepting: typing.Callable[[], None],
) -> None:
    """Starts draining: no new work is accepted, and peers are notified.

    :param node: node of the daemon
    :param recorder: writes the trace
    :param stop_accepting: called to stop accepting new requests
    """
    events.log(events.DRAINING, instance=node.settings.instance)
    recorder.record(trace.Kind.LEAVING, reason="drain")
    stop_accepting()
    node.send_farewell("leaving")


def finish(
    reactor: typing.Any,
    work: RemainingWork,
    limit_ms: int,
    recorder: trace.Recorder,
    done: typing.Callable[[], None],
) -> None:
    """Waits for the work to finish and reports what was abandoned.

    :param reactor: the twisted reactor
    :param work: work to finish
    :param limit_ms: maximum time to wait
    :param recorder: writes the trace
    :param done: called once all work is finished or the limit has passed
    """

    def end(_finished_in_time: bool) -> None:
        abandoned = work.count_unfinished()
        recorder.record(trace.Kind.PROCESS_STOPPED, abandoned=abandoned)
        if abandoned:
            events.log(events.ABANDONED, requests=abandoned)
        done()

    polling.wait_until(reactor, work.is_finished, limit_ms, end)
