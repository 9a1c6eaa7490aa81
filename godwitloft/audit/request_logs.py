"""Reads the logs of gateways and agents for ``explain`` and ``audit``.

Any number of processes may be mixed. Their clocks differ, so lines are in
order only within one process: a file, or what stands in front of the JSON
when a file holds the output of several. docs/EVENTS.md describes the lines.
"""

import collections
import dataclasses
import datetime
import json
import typing

from godwitloft import events

TIME_FORMAT = "%Y-%m-%d %H:%M:%S,%f"


@dataclasses.dataclass(frozen=True)
class Line:
    """One line of a log.

    :param process: whose line it is
    :param position: its place among the lines of the process
    :param time_ms: of the process's clock, since 1970
    :param event: code of the event, as ``GL1204``
    :param fields: all keys of the line
    """

    process: str
    position: int
    time_ms: int
    event: str
    fields: typing.Mapping[str, typing.Any]

    def is_event(self, event: events.Event) -> bool:
        """Compares the kind of the line.

        :param event: any event
        :return: whether the line is of this kind
        """
        return self.event == event.code


class Logs:
    """Lines of all processes.

    :param named_lines: names of files and their lines
    """

    def __init__(self, named_lines: typing.Iterable[tuple[str, str]]) -> None:
        self.processes: dict[str, list[Line]] = collections.defaultdict(list)
        self.requests: dict[str, list[Line]] = collections.defaultdict(list)
        self.unreadable = 0
        for name, text in named_lines:
            self.add(name, text)

    def add(self, name: str, text: str) -> None:
        """Takes one line.

        :param name: of its file
        :param text: a JSON object, maybe with a process's name before it
        """
        prefix, brace, rest = text.partition("{")
        # Before the name, a time of whoever collected the lines may stand.
        process = " ".join((name, *prefix.split()[-1:]))
        lines = self.processes[process]
        line = parse(process, len(lines), brace + rest)
        if line is None:
            self.unreadable += 1
            return
        lines.append(line)
        request = line.fields.get("request")
        if isinstance(request, str) and request:
            self.requests[request].append(line)

    def steps_by_process(self, request: str) -> dict[str, list[Line]]:
        """Returns what each process did with a request.

        :param request: its id
        :return: its lines by process
        """
        steps: dict[str, list[Line]] = {}
        for line in self.requests.get(request, []):
            steps.setdefault(line.process, []).append(line)
        return steps

    def all_lines(self) -> typing.Iterator[Line]:
        """Yields the lines of all processes, one process after the other.

        :return: lines
        """
        for lines in self.processes.values():
            yield from lines

    def lines_near(
        self,
        line: Line,
        event: events.Event,
        within_ms: int,
        any_process: bool = False,
    ) -> list[Line]:
        """Finds lines of a kind near a line.

        :param line: any
        :param event: the kind
        :param within_ms: how far they may be before or after it
        :param any_process: whether other processes' lines count too
        :return: the lines found
        """
        source = (
            self.all_lines() if any_process else self.processes[line.process]
        )
        return [
            candidate
            for candidate in source
            if candidate.is_event(event)
            and abs(candidate.time_ms - line.time_ms) <= within_ms
        ]

    def last_before(self, line: Line, *kinds: events.Event) -> Line | None:
        """Finds the newest line of some kinds before a line.

        :param line: any
        :param kinds: the kinds
        :return: a line of the same process, None if there is none
        """
        for previous in reversed(
            self.processes[line.process][: line.position]
        ):
            if any(previous.is_event(kind) for kind in kinds):
                return previous
        return None

    def process_end_after(self, line: Line) -> events.Event | None:
        """Tells how a process went on after a line.

        :param line: any
        :return: the event of its stop, the one of a new start if it had no
            stop, None when the log just goes on
        """
        for later in self.processes[line.process][line.position + 1 :]:
            for kind in (events.STOPPED, events.STARTED):
                if later.is_event(kind):
                    return kind
        return None


def parse(process: str, position: int, text: str) -> Line | None:
    """Reads one line.

    :param process: whose line it is
    :param position: its place among the lines of the process
    :param text: a JSON object
    :return: the line, None when it isn't a line of a log
    """
    try:
        fields = json.loads(text)
        time = datetime.datetime.strptime(fields["time"], TIME_FORMAT)
        event = str(fields["event"])
    except (ValueError, KeyError, TypeError):
        return None
    time_ms = int(time.replace(tzinfo=datetime.UTC).timestamp() * 1000)
    return Line(process, position, time_ms, event, fields)
