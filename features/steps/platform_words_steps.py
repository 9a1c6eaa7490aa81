import pathlib

from behave import then

ROOT = pathlib.Path(__file__).parents[2]
# Names of this project's programs and of its generated code, which begin like
# names of the platform.
OWN_NAMES = (
    "godwitloft-entry",
    "godwitloft-agent",
    "godwitloft-standalone",
    "godwitloft-standin",
    "godwitloft-operator",
)


@then('no module outside "{adapter}" and "{standins}" contains')
def check_words(context, adapter, standins):
    allowed = [ROOT / adapter, ROOT / standins]
    found = []
    modules = [
        path
        for part in ("godwitloft", "bench")
        for path in sorted((ROOT / part).rglob("*.py"))
    ]
    for path in modules:
        if any(path.is_relative_to(folder) for folder in allowed):
            continue
        text = path.read_text()
        for name in OWN_NAMES:
            text = text.replace(name, "")
        for row in context.table:
            if row["name"] in text:
                found.append((str(path.relative_to(ROOT)), row["name"]))
    assert not found, found
