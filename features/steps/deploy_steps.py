import pathlib
import tomllib

from behave import then

from godwitloft.platform import main

ROOT = pathlib.Path(__file__).parents[2]
COPY = "target/app/"


@then('each line of "{path}" is one of the project\'s dependencies')
def check_requirements(context, path):
    project = tomllib.loads((ROOT / "pyproject.toml").read_text())
    declared = project["project"]["dependencies"]
    lines = (ROOT / path).read_text().split()
    assert lines, path
    assert set(lines) <= set(declared), set(lines) - set(declared)


@then("each role's program is a file of the repository and accepts the role")
def check_programs(context):
    deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
    assert deploy["roles"]
    for role in deploy["roles"].values():
        python, program, *words = role["run"].split()
        assert python == "python3", role
        name = program.removeprefix(COPY)
        assert name != program, program
        assert (ROOT / "deploy" / name).is_file(), program
        assert main.parse_args(words).role in main.ROLES, words
