import dataclasses
import functools
import pkgutil

from behave import then

from bench import capacity
from bench import slope_fit
from bench import slopes

# Only listed on the page; no other figure is computed from them.
SHOWN_ONLY = {
    "desk_bid",
    "dispatcher_bid",
    "snapshot_index",
    "snapshot_find",
    "feed_messages",
    "feed_spread",
    "claim",
    "claim_writes_large",
    "encode_heartbeat",
    "decode_heartbeat",
    "decode_dispatch",
}


@functools.cache
def measured():
    return slopes.read(capacity.FIGURES)


@then("docs/CAPACITY.md equals the page rendered from docs/capacity.json")
def check_page(context):
    written = capacity.PAGE.read_text(encoding="utf-8")
    assert written == capacity.render(measured()), (
        "run: python -m bench capacity"
    )


@then("the capacity page changes when any slope that it uses is doubled")
def check_sensitive(context):
    needs = capacity.needs(measured())
    for name, slope in measured().slopes.items():
        doubled = dataclasses.replace(slope, slope=2 * slope.slope)
        changed = dataclasses.replace(
            measured(), slopes={**measured().slopes, name: doubled}
        )
        differs = capacity.needs(changed) != needs
        assert differs == (name not in SHOWN_ONLY), name


@then(
    "each slope of docs/capacity.json has at least 3 sizes and matches a fit"
    " of its costs"
)
def check_fits(context):
    assert measured().slopes
    for slope in measured().slopes.values():
        points = list(zip(slope.sizes, slope.costs, strict=True))
        again = slope_fit.fit(slope.name, slope.per, slope.unit, points)
        # Costs are rounded to 0.001 in the file.
        assert abs(again.slope - slope.slope) <= 1e-3 * abs(slope.slope), slope
        assert abs(again.error - slope.error) <= 1e-3 * abs(slope.slope), slope


@then("each carrier on the capacity page can be imported")
def check_carriers(context):
    for need in capacity.needs(measured()):
        name = need.carrier
        module, _, rest = name.partition(".")
        assert module == "godwitloft" and rest, name
        pkgutil.resolve_name(name)


def parse(points):
    pairs = (pair.split(":") for pair in points.split())
    return [(int(size), float(cost)) for size, cost in pairs]


@then(
    'a line through "{points}" has slope {slope:g}, error {error:g} and base'
    " {base:g}"
)
def check_line(context, points, slope, error, base):
    found = slope_fit.fit("n", "one", "us", parse(points))
    expected = (slope, error, base)
    near = zip((found.slope, found.error, found.base), expected, strict=True)
    assert all(abs(value - other) < 1e-3 for value, other in near), found


@then('fitting a line through "{points}" fails')
def check_refused(context, points):
    try:
        slope_fit.fit("n", "one", "us", parse(points))
    except ValueError:
        return
    raise AssertionError("two points were fitted")


@then(
    "a capacity need of {value:g} against a target of {target:g} has ratio"
    " {ratio:g}"
)
def check_ratio(context, value, target, ratio):
    need = capacity.Need("r", "w", "a", value, "MB", target, "c")
    assert need.ratio == ratio, need.ratio
