"""Which versions of a service a gateway sends requests to in a roll-out."""

import typing

from godwitloft import clock as clocks
from godwitloft.gateway import request as requests
from godwitloft.gateway.allowances import gateway_list
from godwitloft.gateway.upstreams import fleet as fleets
from godwitloft.rollouts import evidence
from godwitloft.rollouts import types


class Rollouts:
    """The roll-outs that this gateway knows, and its part in them.

    :param clock: source of the time
    :param others: the other gateways
    :param fleet: the upstreams
    :param incarnation: name of the start of this process
    :param exposure_share: share of a service's requests that a version that
        isn't known to be good may get
    """

    def __init__(
        self,
        clock: clocks.Clock,
        others: gateway_list.GatewayList,
        fleet: fleets.Fleet,
        incarnation: str,
        exposure_share: float,
    ) -> None:
        # Whether the platform has roll-outs at all; set by an adapter whose
        # store has orders.
        self.in_use = False
        # When the rows held here were last known to be current, None if none
        # was ever read.
        self.orders_current_ms: int | None = None
        # Whether a peer knows more than the rows that were read tell.
        self.rows_outdated = False

    def on_rows(
        self,
        orders: typing.Mapping[str, types.Order],
        rollouts: typing.Mapping[str, types.Saved],
        asked_ms: int,
    ) -> None:
        """Takes over all rows, as they were read from the store.

        :param orders: valid orders, by service
        :param rollouts: by service
        :param asked_ms: when the reading began
        """

    def digest(self) -> int | None:
        """Returns a digest of the rows, None if none was ever read."""

    def confirm_rows(self, digest: int, at_ms: int) -> None:
        """Learns from a peer which rows were current.

        :param digest: digest of the rows that the peer holds
        :param at_ms: a time at which those were current
        """

    def status_for_peers(self) -> evidence.PeerRollouts | None:
        """Returns what peers should know, None if that is nothing."""

    def on_peer(self, told: evidence.PeerRollouts) -> None:
        """Learns from what a peer tells.

        :param told: what it tells
        """

    def due_step(self, store_now_ms: int) -> types.Step | None:
        """Returns a step that this gateway should write now.

        :param store_now_ms: the current time on the store's clock
        :return: the step, None if none is due or another gateway takes it
        """

    def on_step_written(self, step: types.Step, row_version: int) -> None:
        """Takes over a step that was written.

        :param step: what :meth:`due_step` has returned
        :param row_version: version of the row since then
        """

    def may_send(
        self,
        request: requests.Request,
        state: fleets.UpstreamState,
        version: str | None,
    ) -> bool:
        """Returns whether a request may be sent to an upstream.

        :param request: a waiting request
        :param state: an upstream of its service
        :param version: the version that it must be sent to, None for any
        """
