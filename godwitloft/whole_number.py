"""Reads whole numbers that others have written, within bounds.

Python's own conversion takes digits of all scripts, and fails with an
exception from some thousands of digits on.
"""

MAX_DIGITS = 19


def parse(text: str | bytes, most: int) -> int | None:
    """Returns a whole number.

    :param text: decimal digits, without sign
    :param most: the largest number that is accepted
    :return: the number, None if the text is anything else
    """
    number = parse_clamped(text, most + 1)
    return number if number is not None and number <= most else None


def parse_clamped(text: str | bytes, most: int) -> int | None:
    """Returns a whole number, or the largest one if it is larger.

    :param text: decimal digits, without sign
    :param most: the largest number that is returned
    :return: the number, None if the text is anything else
    """
    if isinstance(text, bytes):
        text = text.decode("latin-1")
    if not text.isascii() or not text.isdigit():
        return None
    digits = text.lstrip("0") or "0"
    if len(digits) > MAX_DIGITS:
        return most
    return min(int(digits), most)
