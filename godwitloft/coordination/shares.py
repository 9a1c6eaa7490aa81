"""An entry's share of a team's limit: an equal part, and what others leave.

Every entry may use the limit divided by the live entries without asking
anyone. An entry that needs more says so in the team's row of the table;
entries that need less lend to a pool in that row, and the one in need takes
from it. Teams that stay within equal parts cost nothing. With the store down
the balances stay as they were.
"""

import dataclasses
import json
import random
import typing

from godwitloft import decode
from godwitloft.coordination import swap
from godwitloft.store import port

TABLE = "shares"
# Part of its allowance that an entry uses before it asks for more.
BORROW_THRESHOLD = 0.95
# What an entry keeps above its use when it lends.
HEADROOM_FACTOR = 1.25
MIN_AMOUNT = 1e-6


@dataclasses.dataclass(frozen=True)
class TeamRow:
    """Who has lent and who has borrowed of one team's limit.

    :param balances: by entry; negative when it has lent
    :param wanting: by entry, what it would still take
    :param nonce: makes every write differ
    """

    balances: dict[str, float] = dataclasses.field(default_factory=dict)
    wanting: dict[str, float] = dataclasses.field(default_factory=dict)
    nonce: str = ""


@dataclasses.dataclass(frozen=True)
class Usage:
    """What one entry uses of a team's limit.

    :param limit: of the team, over all entries
    :param used: by this entry now, in the limit's unit
    :param refused: what it refused lately for want of allowance
    """

    limit: float
    used: float
    refused: float = 0.0


def allowance(
    row: TeamRow, name: str, live: typing.Collection[str], limit: float
) -> float:
    """Returns what an entry may use.

    When a lender is gone, what it lent comes back to the equal parts, and
    those who borrowed it have proportionally less.

    :param row: of the team
    :param name: of the entry
    :param live: names of all live entries
    :param limit: of the team, over all entries
    :return: in the limit's unit
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
    """Decides what one entry lends, gives back, takes or asks for.

    :param row: of the team, as it is
    :param name: of the entry
    :param live: names of all live entries
    :param use: what the entry uses
    :return: the row as it should be; the same when nothing changes
    """
    own = allowance(row, name, live, usage.limit)
    balances = {
        entry: value for entry, value in row.balances.items() if entry in live
    }
    balances[name] = own - usage.limit / max(1, len(live))
    wanting = {
        entry: value for entry, value in row.wanting.items() if entry in live
    }
    wanting.pop(name, None)
    if usage.used + usage.refused >= own * BORROW_THRESHOLD:
        wanted = (usage.used + usage.refused) * HEADROOM_FACTOR - own
        pool = max(0.0, -sum(balances.values()))
        # Those in need end with equal balances, whoever asks first.
        borrowers = [name, *wanting]
        held = sum(max(0.0, balances.get(entry, 0.0)) for entry in borrowers)
        fair_share = (pool + held) / len(borrowers) - max(0.0, balances[name])
        taken = min(pool, wanted, max(0.0, fair_share))
        balances[name] += taken
        if wanted - taken > MIN_AMOUNT:
            wanting[name] = wanted - taken
    else:
        balances[name] -= _amount_to_lend(balances, wanting, name, own, usage)
    return TeamRow(
        _drop_negligible(balances), _drop_negligible(wanting), row.nonce
    )


def _amount_to_lend(
    balances: typing.Mapping[str, float],
    wanting: typing.Mapping[str, float],
    name: str,
    own: float,
    usage: Usage,
) -> float:
    """Returns how much an entry with room to spare lends or gives back."""
    pool = max(0.0, -sum(balances.values()))
    missing = max(0.0, sum(wanting.values()) - pool)
    spare = max(0.0, own - usage.used * HEADROOM_FACTOR)
    return min(missing, spare)


def repay(
    row: TeamRow, name: str, live: typing.Collection[str], limit: float
) -> TeamRow:
    """Makes a borrower give back what a lender wants for itself.

    :param row: of the team
    :param name: of the entry
    :param live: names of all live entries
    :param limit: of the team
    :return: the row as it should be; the same when nothing is owed
    """
    owed = sum(
        min(wanted, -row.balances.get(entry, 0.0))
        for entry, wanted in row.wanting.items()
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
    """One entry's allowances of all teams.

    :param platform: the table
    :param name: of this entry
    :param live: names of all live entries, this one among them
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
        """Returns what this entry may use of a team's limit now.

        :param team: name of the team
        :param limit: of the team, over all entries
        :return: in the limit's unit
        """
        row = self.rows.get(team, TeamRow())
        return allowance(row, self.name, self.live(), limit)

    async def exchange(self, usages: typing.Mapping[str, Usage]) -> None:
        """Lends, takes and gives back; call it every few seconds.

        It reads the rows of all teams that anyone wants more of in one call
        and writes only those that this entry changes.

        :param uses: by team, what this entry uses
        :raises port.PlatformError: when the store can't be used; the
            allowances stay as they are
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
        before = _decode(row)
        live = self.live()
        after = rebalance(before, self.name, live, usage)
        after = repay(after, self.name, live, usage.limit)
        if after == before:
            self.rows[team] = before
            return
        # What is given away is not used from now on, whatever the store
        # answers; what is taken counts only when the store has it.
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
        self.rows[team] = _decode(answer.row)


def _with_lower_balance(name: str, before: TeamRow, after: TeamRow) -> TeamRow:
    own = min(before.balances.get(name, 0.0), after.balances.get(name, 0.0))
    return dataclasses.replace(before, balances={**before.balances, name: own})


def _decode(row: port.Row | None) -> TeamRow:
    if row is None:
        return TeamRow()
    where = f"share {row.key!r}"
    try:
        value = json.loads(row.value)
    except ValueError as error:
        raise decode.DecodeError(where, "", "is not JSON") from error
    return decode.decode(TeamRow, value, where)
