"""The end of a daemon that was told to leave."""

import dataclasses
import typing

from godwitloft import events
from godwitloft import trace
from godwitloft.runtime import node as nodes
from godwitloft.runtime import polling


@dataclasses.dataclass(frozen=True)
class RemainingWork:
    """What a daemon that leaves still has to finish.

    :param is_finished: whether nothing is left
    :param count_unfinished: how many requests are left
    """

    is_finished: typing.Callable[[], bool]
    count_unfinished: typing.Callable[[], int]


def begin(
    node: nodes.Node,
    recorder: trace.Recorder,
    stop_accepting: typing.Callable[[], None],
) -> None:
    """Says that a daemon leaves and lets it take no new work.

    :param node: of the daemon; its peers are told
    :param recorder: writes the trace
    :param stop_accepting: tells the task that owns the requests
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
    """Waits for the work to end, and says what was abandoned.

    :param reactor: the twisted reactor
    :param work: what is to be finished
    :param limit_ms: how long to wait
    :param recorder: writes the trace
    :param done: called once nothing is left or the limit is over
    """

    def end(_finished_in_time: bool) -> None:
        abandoned = work.count_unfinished()
        recorder.record(trace.Kind.PROCESS_STOPPED, abandoned=abandoned)
        if abandoned:
            events.log(events.ABANDONED, requests=abandoned)
        done()

    polling.wait_until(reactor, work.is_finished, limit_ms, end)
