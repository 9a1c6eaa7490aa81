"""State charts defined in JSON files and executed by automat.

The states and inputs of a request, a run and a cluster member are data:
JSON files in this package. :func:`load` checks a file and builds an automat
machine from it, so that no code can take a transition that the chart doesn't
define.
"""

import dataclasses
import functools
import importlib.resources
import typing

import automat

from godwitloft import decode
from godwitloft import errors


class ChartError(errors.GodwitloftError):
    """A chart file is invalid.

    :param chart: name of the chart
    :param reason: what is wrong, with the state and the input
    """

    def __init__(self, chart: str, reason: str) -> None:
        self.chart = chart
        self.reason = reason
        super().__init__(f"chart {chart!r}: {reason}")


class InputNotAllowed(errors.GodwitloftError):
    """An input was fed in a state that has no transition for it.

    :param chart: name of the chart
    :param state: the current state, which is unchanged
    :param name: name of the input
    """

    def __init__(self, chart: str, state: str, name: str) -> None:
        self.chart = chart
        self.state = state
        self.name = name
        super().__init__(
            f"chart {chart!r}: input {name!r} is not allowed in state"
            f" {state!r}"
        )


@dataclasses.dataclass(frozen=True)
class State:
    """One state of a chart.

    :param doc: its meaning in one sentence
    :param on: names of the next states by the names of inputs
    :param final: whether no transition leaves it
    """

    doc: str
    on: dict[str, str] = dataclasses.field(default_factory=dict)
    final: bool = False


@dataclasses.dataclass(frozen=True)
class Definition:
    """The content of a chart file.

    :param name: name of the chart, the same as the file's
    :param doc: what the chart describes, in one sentence
    :param initial: name of the initial state
    :param inputs: meanings of all inputs by their names
    :param states: all states by their names
    """

    name: str
    doc: str
    initial: str
    inputs: dict[str, str]
    states: dict[str, State]


class Position:
    """The current state of one request, run or member.

    :param chart: the chart with its transitions
    :param machine: an instance of the chart's automat machine
    """

    __slots__ = ("chart", "machine", "state")

    def __init__(self, chart: "Chart", machine: typing.Any) -> None:
        self.chart = chart
        self.machine = machine
        self.state = chart.definition.initial

    def feed(self, name: str) -> str:
        """Takes the transition of an input.

        :param name: name of the input
        :return: name of the new state
        :raises InputNotAllowed: when the state has no such transition; the
            position is unchanged
        """
        if not self.allows(name):
            raise InputNotAllowed(self.chart.definition.name, self.state, name)
        self.state = getattr(self.machine, name)()
        return self.state

    def allows(self, name: str) -> bool:
        """Returns whether an input has a transition from this state.

        :param name: name of the input
        :return: whether :meth:`feed` would accept it
        """
        return name in self.chart.definition.states[self.state].on

    @property
    def final(self) -> bool:
        """Whether no transition leaves the current state."""
        return self.chart.definition.states[self.state].final


@dataclasses.dataclass(frozen=True)
class Chart:
    """A checked chart.

    :param definition: content of its file
    :param machine: the automat machine built from it
    """

    definition: Definition
    machine: typing.Any

    def start(self) -> Position:
        """Returns a new position in the initial state.

        :return: a position with a machine of its own
        """
        return Position(self, self.machine(None))


@functools.cache
def load(name: str) -> Chart:
    """Loads a chart of this package.

    :param name: name of the file without ``.json``
    :return: the chart; the same object on every call
    :raises ChartError: when the file is invalid
    """
    files = importlib.resources.files(__name__)
    return parse(name, files.joinpath(f"{name}.json").read_text("utf-8"))


def parse(name: str, text: str) -> Chart:
    """Checks and builds a chart from JSON text.

    :param name: expected name of the chart
    :param text: a JSON object with the fields of :class:`Definition`
    :return: the chart
    :raises ChartError: when the text is invalid
    """
    try:
        value = decode.load_json(text)
        definition = decode.decode(Definition, value, "")
    except ValueError as error:
        raise ChartError(name, f"not JSON: {error}") from error
    except decode.DecodeError as error:
        reason = f"key {error.key!r}: {error.reason}"
        raise ChartError(name, reason) from error
    _check(name, definition)
    return Chart(definition, _build(definition))


def _check(name: str, definition: Definition) -> None:
    states = definition.states
    if definition.name != name:
        raise ChartError(name, f"its name is {definition.name!r}")
    if definition.initial not in states:
        hint = decode.nearest(definition.initial, states)
        raise ChartError(
            name, f"initial state {definition.initial!r} is unknown{hint}"
        )
    for input_name in definition.inputs:
        if not input_name.isidentifier() or input_name.startswith("_"):
            raise ChartError(
                name, f"input {input_name!r} is not an identifier"
            )
    for state_name, state in states.items():
        _check_state(name, definition, state_name, state)
    _check_reachable(name, definition)
    _check_inputs_used(name, definition)


def _check_state(
    name: str, definition: Definition, state_name: str, state: State
) -> None:
    where = f"state {state_name!r}"
    if state.final and any(to != state_name for to in state.on.values()):
        raise ChartError(name, f"{where} is final but can be left")
    if not state.final and not state.on:
        raise ChartError(name, f"{where} can't be left but is not final")
    for input_name, target in state.on.items():
        if input_name not in definition.inputs:
            hint = decode.nearest(input_name, definition.inputs)
            raise ChartError(
                name, f"{where}: unknown input {input_name!r}{hint}"
            )
        if target not in definition.states:
            hint = decode.nearest(target, definition.states)
            raise ChartError(
                name,
                f"{where}: input {input_name!r} leads to unknown state"
                f" {target!r}{hint}",
            )


def _check_reachable(name: str, definition: Definition) -> None:
    reached = {definition.initial}
    pending = [definition.initial]
    while pending:
        for target in definition.states[pending.pop()].on.values():
            if target not in reached:
                reached.add(target)
                pending.append(target)
    for state_name in definition.states:
        if state_name not in reached:
            raise ChartError(name, f"state {state_name!r} is never reached")


def _check_inputs_used(name: str, definition: Definition) -> None:
    used = {
        input_name
        for state in definition.states.values()
        for input_name in state.on
    }
    for input_name in definition.inputs:
        if input_name not in used:
            raise ChartError(name, f"input {input_name!r} is never used")


def _build(definition: Definition) -> typing.Any:
    """Builds the automat machine of a checked definition.

    Automat needs a protocol class with a method for each input, which is
    created here at run time. Each method returns the name of the new state.
    """
    methods = {
        input_name: _method(input_name) for input_name in definition.inputs
    }
    protocol = type(definition.name, (typing.Protocol,), dict(methods))
    builder: typing.Any = automat.TypeMachineBuilder(protocol, type(None))
    # Automat uses the first state created as the initial state.
    names = sorted(
        definition.states,
        key=lambda state_name: state_name != definition.initial,
    )
    states = {state_name: builder.state(state_name) for state_name in names}
    for state_name, state in definition.states.items():
        for input_name, target in state.on.items():
            transition = states[state_name].upon(getattr(protocol, input_name))
            transition.to(states[target]).returns(target)
    return builder.build()


def _method(name: str) -> typing.Callable[..., str]:
    def method(self: object) -> str:
        raise NotImplementedError(name)

    method.__name__ = name
    method.__qualname__ = name
    return method
