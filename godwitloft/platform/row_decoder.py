"""Decodes rows of the store, which any process may have written."""

import typing

from godwitloft import events
from godwitloft.platform import json_fields
from godwitloft.platform import store as stores

Decoded = typing.TypeVar("Decoded")


class RowDecoder:
    """Decodes rows, and logs each version of an invalid one once."""

    def __init__(self) -> None:
        # Version of each invalid row that was logged, by table and key.
        self.logged_versions: dict[str, int] = {}

    def decode(
        self,
        table: str,
        row: stores.Row,
        decode_value: typing.Callable[[str, object], Decoded],
    ) -> Decoded | None:
        """Decodes a row and logs each version of an invalid row once.

        Whatever is wrong with one row, the others are read.

        :param table: name of the row's table
        :param row: a row that any process may have written
        :param decode_value: gets table and key, for error messages, and the
            value
        :return: the decoded row, None if it is invalid
        """
        name = f"{table}/{row.key}"
        try:
            return decode_value(name, row.value)
        except json_fields.RowError as error:
            if self.logged_versions.get(name) != row.version:
                self.logged_versions[name] = row.version
                events.log(
                    events.ROW_SKIPPED,
                    row=name,
                    version=row.version,
                    field=error.field,
                    reason=error.reason,
                )
        except Exception as error:
            if self.logged_versions.get(name) != row.version:
                self.logged_versions[name] = row.version
                events.log_error(
                    events.INTERNAL_ERROR,
                    error,
                    row=name,
                    version=row.version,
                )
        return None
