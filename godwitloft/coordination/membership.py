"""Fleet membership, from the platform's list and the state of links.

The platform's list lags and may be unavailable for long, but only it names
daemons that this one never had a link to. Links show changes at once, but
only for peers. So the list adds members and confirms that they are gone, and
links decide whether a member is live, suspect or leaving. While the list
can't be read, the last one stays in use.
"""

import collections
import dataclasses
import typing

from godwitloft import charts
from godwitloft import clock as clocks
from godwitloft.links.generated.messages import ttypes
from godwitloft.store import port

JOINING = "joining"
LIVE = "live"
SUSPECT = "suspect"
LEAVING = "leaving"
GONE = "gone"
MAY_BE_CONNECTED = (JOINING, LIVE, SUSPECT)


@dataclasses.dataclass(frozen=True)
class MembershipSettings:
    """Times without a message after which a member's state changes.

    :param suspect_after_ms: milliseconds until a live member is suspect
    :param expire_after_ms: milliseconds until a suspect or leaving member
        that isn't listed is gone
    :param forget_after_ms: milliseconds for which a gone member's process is
        remembered, so that a lagging list doesn't add it again
    """

    suspect_after_ms: int = 3_500
    expire_after_ms: int = 30_000
    forget_after_ms: int = 600_000


@dataclasses.dataclass
class Member:
    """State of one daemon as this one knows it.

    :param instance: from the list or from its hello; the port is 0 if only
        a hello named it
    :param position: its position on the state chart ``member``
    :param incarnation: incarnation of its process; empty before its first
        hello
    :param last_received_ms: monotonic time of its last message, in
        milliseconds
    :param is_listed: whether the last list contained it
    """

    instance: port.Instance
    position: charts.Position
    incarnation: str = ""
    last_received_ms: int = 0
    is_listed: bool = False

    @property
    def state(self) -> str:
        """Name of the member's state."""
        return self.position.state


class Membership:
    """One daemon's view of the other daemons.

    :param clock: only its monotonic time is read
    :param settings: times after which states change
    :param on_change: called with the name of a member and its new state
    """

    def __init__(
        self,
        clock: clocks.Clock,
        settings: MembershipSettings = MembershipSettings(),
        on_change: typing.Callable[[str, str], None] = lambda *_: None,
    ) -> None:
        self.clock = clock
        self.settings = settings
        self.on_change = on_change
        self.members: dict[str, Member] = {}
        self.chart = charts.load("member")

    def on_list(self, instances: typing.Iterable[port.Instance]) -> None:
        """Handles a list read from the platform.

        :param instances: all instances on the list
        """
        found = {instance.name: instance for instance in instances}
        for name, instance in found.items():
            member = self.members.get(name)
            if member is None:
                member = self._add(instance)
            member.is_listed = True
            self._update(member, instance)
            if instance.leaving:
                self._apply_input(member, "leave")
        for name, member in self.members.items():
            if name not in found and member.is_listed:
                member.is_listed = False
                self._apply_input(member, "unlisted")

    def on_hello(self, hello: ttypes.Hello) -> None:
        """Handles a peer's hello.

        :param hello: the first message on a link
        """
        member = self.members.get(hello.instance)
        if member is None:
            member = self._add(_instance_of(hello))
        is_new = member.incarnation != hello.incarnation
        member.incarnation = hello.incarnation
        member.last_received_ms = self.clock.monotonic_ms()
        self._apply_input(member, "greeted" if is_new else "heard")
        if hello.draining:
            self._apply_input(member, "leave")

    def on_message(self, name: str, is_draining: bool = False) -> None:
        """Handles the arrival of any message of a member.

        :param name: name of the member
        :param is_draining: whether the message says that the member drains
        """
        member = self.members.get(name)
        if member is None:
            return
        member.last_received_ms = self.clock.monotonic_ms()
        self._apply_input(member, "leave" if is_draining else "heard")

    def on_farewell(self, name: str) -> None:
        """Handles a member's notice that it takes no new work.

        :param name: name of the member
        """
        self._apply_input_by_name(name, "leave")

    def on_link_lost(self, name: str) -> None:
        """Handles the loss of the link to a member.

        :param name: name of the member
        """
        self._apply_input_by_name(name, "link_lost")

    def on_pause(self) -> None:
        """Restarts the timeouts of live members after this process paused."""
        now_ms = self.clock.monotonic_ms()
        for member in self.members.values():
            if member.state == LIVE:
                member.last_received_ms = now_ms

    def check(self) -> None:
        """Applies the timeouts; call it about once a second."""
        now_ms = self.clock.monotonic_ms()
        forgotten = []
        for name, member in self.members.items():
            idle_ms = now_ms - member.last_received_ms
            if (
                member.state == LIVE
                and idle_ms > self.settings.suspect_after_ms
            ):
                self._apply_input(member, "silent")
            is_old = idle_ms > self.settings.expire_after_ms
            if member.state in (SUSPECT, LEAVING) and is_old:
                if not member.is_listed:
                    self._apply_input(member, "expired")
            is_very_old = idle_ms > self.settings.forget_after_ms
            if member.state == GONE and is_very_old and not member.is_listed:
                forgotten.append(name)
        for name in forgotten:
            del self.members[name]

    def in_state(
        self, role: str, states: typing.Collection[str]
    ) -> tuple[port.Instance, ...]:
        """Returns the members of a role that are in some states.

        :param role: ``entry`` or ``agent``
        :param states: names of states
        :return: the instances, sorted by name
        """
        return tuple(
            self.members[name].instance
            for name in sorted(self.members)
            if self.members[name].instance.role == role
            and self.members[name].state in states
        )

    def count(self, role: str) -> int:
        """Counts the members of a role that may be connected.

        :param role: ``entry`` or ``agent``
        :return: how many are joining, live or suspect
        """
        return len(self.in_state(role, MAY_BE_CONNECTED))

    def counts(self) -> typing.Mapping[tuple[str, str], int]:
        """Counts members by role and state, for metrics.

        :return: counts by role and state
        """
        return collections.Counter(
            (member.instance.role, member.state)
            for member in self.members.values()
        )

    def _add(self, instance: port.Instance) -> Member:
        member = Member(instance, self.chart.start())
        member.last_received_ms = self.clock.monotonic_ms()
        self.members[instance.name] = member
        self.on_change(instance.name, member.state)
        return member

    def _update(self, member: Member, instance: port.Instance) -> None:
        """Updates a member from the list; a new address is a new process."""
        before = member.instance
        moved = (before.address, before.port) != (
            instance.address,
            instance.port,
        )
        member.instance = instance
        if member.state == GONE and moved:
            member.position = self.chart.start()
            member.incarnation = ""
            member.last_received_ms = self.clock.monotonic_ms()
            self.on_change(instance.name, member.state)

    def _apply_input_by_name(self, name: str, chart_input: str) -> None:
        member = self.members.get(name)
        if member is not None:
            self._apply_input(member, chart_input)

    def _apply_input(self, member: Member, chart_input: str) -> None:
        before = member.state
        if not member.position.allows(chart_input):
            return
        if member.position.feed(chart_input) != before:
            self.on_change(member.instance.name, member.state)


def _instance_of(hello: ttypes.Hello) -> port.Instance:
    return port.Instance(
        name=hello.instance,
        role=hello.role,
        address="",
        port=0,
        availability_zone=hello.availability_zone,
        pool=hello.pool or "",
    )
