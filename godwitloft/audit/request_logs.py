"""Reads the logs of gateways and agents for ``explain`` and ``audit``.

Lines of several processes may be mixed. Clocks of processes differ, so lines
are ordered only within one process. A process is identified by the file and,
when a file holds the output of several, by the prefix before the JSON.
docs/EVENTS.md describes the lines.
"""

import collections
import dataclasses
import datetime
import typing

from godwitloft import decode
from godwitloft import events

TIME_FORMAT = "%Y-%m-%d %H:%M:%S,%f"


@dataclasses.dataclass(frozen=True)
class Line:
    """One line of a log.

    :param process: the process that wrote it
    :param position: index among the lines of the process
    :param time_ms: milliseconds since 1970 by the process's clock
    :param event: code of the event, such as ``GL1204``
    :param fields: all keys and values of the line
    """

    process: str
    position: int
    time_ms: int
    event: str
    fields: typing.Mapping[str, typing.Any]

    def is_event(self, event: events.Event) -> bool:
        """Returns whether the line logs an event.

        :param event: the event
        :return: whether the line has its code
        """
        return self.event == event.code


class Logs:
    """Log lines indexed by process and by request.

    :param named_lines: pairs of a file's name and one of its lines
    """

    def __init__(self, named_lines: typing.Iterable[tuple[str, str]]) -> None:
        self.processes: dict[str, list[Line]] = collections.defaultdict(list)
        self.requests: dict[str, list[Line]] = collections.defaultdict(list)
        self.unreadable = 0
        for name, text in named_lines:
            self.add(name, text)

    def add(self, name: str, text: str) -> None:
        """Adds one line.

        :param name: name of its file
        :param text: a JSON object, optionally prefixed by a process's name
        """
        prefix, brace, rest = text.partition("{")
        # A log collector may have put its own timestamp before the name.
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

        :param request: id of the request
        :return: its log lines by process
        """
        steps: dict[str, list[Line]] = {}
        for line in self.requests.get(request, []):
            steps.setdefault(line.process, []).append(line)
        return steps

    def all_lines(self) -> typing.Iterator[Line]:
        """Yields the lines of all processes, process by process.

        :return: the lines
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
        """Finds lines of an event close in time to a line.

        :param line: the reference line
        :param event: the event to look for
        :param within_ms: largest distance before or after the line
        :param any_process: whether to search the lines of all processes
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
        """Finds the last line of some events before a line.

        :param line: the reference line
        :param kinds: the events to look for
        :return: a line of the same process, None if there is none
        """
        for previous in reversed(
            self.processes[line.process][: line.position]
        ):
            if any(previous.is_event(kind) for kind in kinds):
                return previous
        return None

    def process_end_after(self, line: Line) -> events.Event | None:
        """Returns how the process ended after a line.

        :param line: the reference line
        :return: the stop event; the start event if the process started again
            without a stop; None if the log has neither
        """
        for later in self.processes[line.process][line.position + 1 :]:
            for kind in (events.STOPPED, events.STARTED):
                if later.is_event(kind):
                    return kind
        return None


def parse(process: str, position: int, text: str) -> Line | None:
    """Parses one line.

    :param process: the process that wrote it
    :param position: index among the lines of the process
    :param text: a JSON object
    :return: the line, None when it isn't a log line
    """
    try:
        fields = decode.load_json(text)
        time = datetime.datetime.strptime(fields["time"], TIME_FORMAT)
        event = str(fields["event"])
    except (ValueError, KeyError, TypeError):
        return None
    time_ms = int(time.replace(tzinfo=datetime.UTC).timestamp() * 1000)
    return Line(process, position, time_ms, event, fields)
