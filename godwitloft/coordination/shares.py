"""An entry's share of a team's limit: an equal part plus borrowed capacity.

Every entry may use the limit divided by the number of live entries without
coordination. An entry that needs more records the amount in the team's row of
the table; entries that need less lend to a pool in that row, from which it
borrows. Teams whose entries stay within equal parts cause no writes. While
the store is down, the balances stay unchanged.
"""

import dataclasses
import json
import random
import typing

from godwitloft import decode
from godwitloft.coordination import swap
from godwitloft.store import port

TABLE = "shares"
# Fraction of its allowance from which an entry asks for more.
BORROW_THRESHOLD = 0.95
# An entry keeps its usage times this factor when it lends, and borrows up to
# that amount.
HEADROOM_FACTOR = 1.25
MIN_AMOUNT = 1e-6


@dataclasses.dataclass(frozen=True)
class TeamRow:
    """Row of one team: what its entries lent, borrowed and still need.

    :param balances: balance by entry, in the limit's unit; negative if the
        entry has lent
    :param wanting: by entry, the amount that it needs but could not borrow
    :param nonce: makes the content of every write unique
    """

    balances: dict[str, float] = dataclasses.field(default_factory=dict)
    wanting: dict[str, float] = dataclasses.field(default_factory=dict)
    nonce: str = ""


@dataclasses.dataclass(frozen=True)
class Usage:
    """Usage of a team's limit by one entry, in the limit's unit.

    :param limit: limit of the team over all entries
    :param used: amount that this entry uses now
    :param refused: amount that it recently refused for lack of allowance
    """

    limit: float
    used: float
    refused: float = 0.0


def allowance(
    row: TeamRow, name: str, live: typing.Collection[str], limit: float
) -> float:
    """Returns the amount of a team's limit that an entry may use.

    When a lender is gone, the amount that it lent returns to the equal parts,
    and the allowances of the borrowers shrink proportionally.

    :param row: row of the team
    :param name: name of the entry
    :param live: names of all live entries
    :param limit: limit of the team over all entries
    :return: the allowance, in the limit's unit
    """
    balances = {entry: row.balances.get(entry, 0.0) for entry in live}
    lent = -sum(value for value in balances.values() if value < 0)
    borrowed = sum(value for value in balances.values() if value > 0)
    own = balances.get(name, 0.0)
    if own > 0 and borrowed > lent:
        own *= lent / borrowed
    return max(0.0, limit / max(1, len(live)) + own)


def rebalance(
    row: TeamRow, name: str, live: typing.Collection[str], usage: Usage
) -> TeamRow:
    """Computes what one entry lends, returns, borrows or asks for.

    :param row: current row of the team
    :param name: name of the entry
    :param live: names of all live entries
    :param usage: usage of the entry
    :return: the new row; equal to ``row`` if nothing changes
    """
    own = allowance(row, name, live, usage.limit)
    balances = {
        entry: value for entry, value in row.balances.items() if entry in live
    }
    balances[name] = own - usage.limit / max(1, len(live))
    needs = {
        entry: value for entry, value in row.wanting.items() if entry in live
    }
    needs.pop(name, None)
    if usage.used + usage.refused >= own * BORROW_THRESHOLD:
        needed = (usage.used + usage.refused) * HEADROOM_FACTOR - own
        pool = max(0.0, -sum(balances.values()))
        # All borrowers end with equal balances, whichever asks first.
        borrowers = [name, *needs]
        held = sum(max(0.0, balances.get(entry, 0.0)) for entry in borrowers)
        fair_share = (pool + held) / len(borrowers) - max(0.0, balances[name])
        amount = min(pool, needed, max(0.0, fair_share))
        balances[name] += amount
        if needed - amount > MIN_AMOUNT:
            needs[name] = needed - amount
    else:
        balances[name] -= _amount_to_lend(balances, needs, name, own, usage)
    return TeamRow(
        _drop_negligible(balances), _drop_negligible(needs), row.nonce
    )


def _amount_to_lend(
    balances: typing.Mapping[str, float],
    needs: typing.Mapping[str, float],
    name: str,
    own: float,
    usage: Usage,
) -> float:
    """Returns the amount that an entry with spare allowance gives up."""
    pool = max(0.0, -sum(balances.values()))
    missing = max(0.0, sum(needs.values()) - pool)
    spare = max(0.0, own - usage.used * HEADROOM_FACTOR)
    return min(missing, spare)


def repay(
    row: TeamRow, name: str, live: typing.Collection[str], limit: float
) -> TeamRow:
    """Makes a borrower repay what lenders need for themselves.

    :param row: current row of the team
    :param name: name of the borrowing entry
    :param live: names of all live entries
    :param limit: limit of the team
    :return: the new row; equal to ``row`` if nothing is owed
    """
    owed = sum(
        min(needed, -row.balances.get(entry, 0.0))
        for entry, needed in row.wanting.items()
        if entry in live and row.balances.get(entry, 0.0) < 0
    )
    borrowed = {
        entry: value for entry, value in row.balances.items() if value > 0
    }
    own = borrowed.get(name, 0.0)
    if owed <= 0 or own <= 0:
        return row
    pool = max(0.0, -sum(row.balances.values()))
    missing = max(0.0, owed - pool)
    repaid = min(own, missing * own / sum(borrowed.values()))
    balances = dict(row.balances)
    balances[name] = own - repaid
    return TeamRow(_drop_negligible(balances), row.wanting, row.nonce)


def _drop_negligible(values: typing.Mapping[str, float]) -> dict[str, float]:
    return {
        name: value
        for name, value in sorted(values.items())
        if abs(value) > MIN_AMOUNT
    }


class Shares:
    """One entry's allowances for all teams.

    :param platform: the table
    :param name: name of this entry
    :param live: returns the names of all live entries, this one included
    :param rng: for nonces
    """

    def __init__(
        self,
        platform: port.Platform,
        name: str,
        live: typing.Callable[[], typing.Collection[str]],
        rng: random.Random,
    ) -> None:
        self.platform = platform
        self.name = name
        self.live = live
        self.rng = rng
        self.rows: dict[str, TeamRow] = {}

    def allowance(self, team: str, limit: float) -> float:
        """Returns the amount of a team's limit that this entry may use now.

        :param team: name of the team
        :param limit: limit of the team over all entries
        :return: the allowance, in the limit's unit
        """
        row = self.rows.get(team, TeamRow())
        return allowance(row, self.name, self.live(), limit)

    async def exchange(self, usages: typing.Mapping[str, Usage]) -> None:
        """Lends, borrows and repays; call it every few seconds.

        It reads all rows in one call and writes only those that this entry
        changes.

        :param usages: usage of this entry, by team
        :raises port.PlatformError: if the store can't be used; no allowance
            grows then
        """
        found = await self.platform.list_rows(TABLE, "")
        rows = {row.key: row for row in found}
        for team, usage in usages.items():
            await self._exchange_one(team, usage, rows.get(team))
        for team in list(self.rows):
            if team not in usages and team not in rows:
                del self.rows[team]

    async def _exchange_one(
        self, team: str, usage: Usage, row: port.Row | None
    ) -> None:
        before = decode_row(row)
        live = self.live()
        after = rebalance(before, self.name, live, usage)
        after = repay(after, self.name, live, usage.limit)
        if after == before:
            self.rows[team] = before
            return
        # Amounts given up are no longer used, whatever the store answers;
        # borrowed amounts count only once the write has succeeded.
        self.rows[team] = _with_lower_balance(self.name, before, after)
        nonce = f"{self.rng.getrandbits(64):016x}"
        after = dataclasses.replace(after, nonce=nonce)
        answer = await swap.compare_and_swap(
            self.platform,
            TABLE,
            team,
            json.dumps(dataclasses.asdict(after)).encode(),
            row.version if row else 0,
        )
        self.rows[team] = decode_row(answer.row)


def _with_lower_balance(name: str, before: TeamRow, after: TeamRow) -> TeamRow:
    own = min(before.balances.get(name, 0.0), after.balances.get(name, 0.0))
    return dataclasses.replace(before, balances={**before.balances, name: own})


def decode_row(row: port.Row | None) -> TeamRow:
    """Decodes the row of a share.

    :param row: the row, None if there is none
    :return: the share, an empty one without a row
    :raises decode.DecodeError: if the row isn't valid
    """
    if row is None:
        return TeamRow()
    where = f"share {row.key!r}"
    return decode.decode_json(TeamRow, row.value, where)
