from behave import when

# Longer than a gateway waits until it saves a stream.
LATE_FOR_MS = 200


def set_late(context, late_ms):
    for member in context.streams.members.values():
        member.client.late_ms = late_ms


@when(
    "1 stream begins at gateway {number:d} while writes are performed"
    " {late_ms:d} ms late"
)
def begin_with_late_writes(context, number, late_ms):
    fleet = context.streams
    set_late(context, late_ms)
    fleet.begin_one(number)
    fleet.advance(LATE_FOR_MS)
    set_late(context, None)
    fleet.advance(1000)
