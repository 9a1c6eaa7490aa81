"""The end of a daemon that was told to leave."""

import dataclasses
import typing

from godwitloft import events
from godwitloft import trace
from godwitloft.runtime import node as nodes
from godwitloft.runtime import waiting


@dataclasses.dataclass(frozen=True)
class Work:
    """What a daemon that leaves still has to finish.

    :param finished: whether nothing is left
    :param unfinished: how many requests are left
    """

    finished: typing.Callable[[], bool]
    unfinished: typing.Callable[[], int]


def begin(
    node: nodes.Node,
    recorder: trace.Recorder,
    take_no_more: typing.Callable[[], None],
) -> None:
    """Says that a daemon leaves and lets it take no new work.

    :param node: of the daemon; its peers are told
    :param recorder: writes the trace
    :param take_no_more: tells the task that owns the requests
    """
    events.log(events.DRAINING, instance=node.settings.instance)
    recorder.record(trace.Kind.LEAVING, reason="drain")
    take_no_more()
    node.say_farewell("leaving")


def finish(
    reactor: typing.Any,
    work: Work,
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

    def end(_in_time: bool) -> None:
        abandoned = work.unfinished()
        recorder.record(trace.Kind.PROCESS_STOPPED, abandoned=abandoned)
        if abandoned:
            events.log(events.ABANDONED, requests=abandoned)
        done()

    waiting.until(reactor, work.finished, limit_ms, end)
