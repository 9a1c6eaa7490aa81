"""Makes the calls that features write as text and formats their results."""

from twisted.python import failure

from godwitloft.store import port

ERRORS = {
    port.RateLimited: "limited",
    port.StoreUnavailable: "unavailable",
    port.AnswerLost: "lost",
    port.InvalidCall: "invalid",
}
TOO_LONG = b"x" * (port.MAX_ROW_BYTES + 1)


def format_result(result):
    if isinstance(result, failure.Failure):
        return ERRORS.get(result.check(*ERRORS), repr(result))
    if result is None:
        return "none"
    if isinstance(result, bytes):
        return result.decode()
    if isinstance(result, port.Row):
        return f"{result.value.decode()} {result.version}"
    if isinstance(result, port.Swapped):
        return f"swapped {result.row.version}"
    if isinstance(result, port.Conflict):
        return f"conflict {format_result(result.row)}"
    names = [
        entry.key
        if isinstance(entry, port.Row)
        else entry.name + "!" * entry.leaving
        for entry in result
    ]
    return " ".join(names) or "-"


def make_call(platform, name, *words):
    """Makes the call that one line of a script describes."""
    if name == "read":
        return platform.read_row("t", *words)
    if name == "write":
        key, value, version, *time_to_live = words
        content = TOO_LONG if value == "long" else value.encode()
        time_to_live_ms = int(time_to_live[0]) if time_to_live else None
        return platform.write_row(
            "t", key, content, int(version), time_to_live_ms
        )
    if name == "delete":
        return platform.delete_row("t", words[0], int(words[1]))
    if name == "list":
        return platform.list_rows("t", words[0].replace("-", ""))
    if name == "get":
        return platform.read_object(*words)
    if name == "put":
        return platform.write_object(words[0], words[1].encode())
    if name == "weights":
        return platform.read_weights(*words)
    if name == "instances":
        return platform.list_instances()
    instance = port.Instance(
        words[0], "entry", "127.0.0.1", 1, "riga-a", leaving=len(words) > 2
    )
    return platform.announce_instance(instance, int(words[1]))
