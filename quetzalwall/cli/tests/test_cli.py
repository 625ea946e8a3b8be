"""Run subcommands as an operator does, against a deployment in this process."""

import contextlib
import io
import json
import tempfile

from quetzalwall.cli.main import main
from quetzalwall.tests.product_fixtures import make_tree, small_deployment


def run(*arguments):
    """Return exit status, standard output and standard error of a subcommand."""
    out, err = io.StringIO(), io.StringIO()
    with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
        try:
            status = main(list(arguments))
        except SystemExit as exc:
            status = exc.code
    return status, out.getvalue(), err.getvalue()


@contextlib.contextmanager
def temporary_file(document):
    """Write a text, or another value as JSON, and yield the path."""
    with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
        file.write(document if isinstance(document, str) else json.dumps(document))
        file.flush()
        yield file.name


def lookup_address(deployment):
    return "{}:{}".format(*deployment.listen_address("east-1", "lookup"))


def test_check_reports_every_fault_and_exits_with_2():
    tree = make_tree()
    tree["desk"]["services"]["desk"]["rotes"] = "x"
    tree["network"]["lookup"]["ttl_s"] = -1
    with temporary_file(tree) as name:
        status, _, err = run("settings", "check", name)
    assert status == 2
    assert (
        f'{name}: /desk/services/desk/rotes: unknown key; nearest known key is "routes"'
        in err
    )
    assert "/network/lookup/ttl_s" in err
    with temporary_file(make_tree()) as name:
        assert run("settings", "check", name)[0] == 0


def test_instance_settings_checks_report_file_path_and_value():
    with temporary_file({"instance": "a", "address": "nowhere"}) as name:
        for arguments in (
            ("front", "--settings", name, "--check"),
            ("settings", "check", "--kind", "instance", name),
        ):
            status, _, err = run(*arguments)
            assert status == 2
            assert f"{name}: /address" in err and "nowhere" in err


def test_deploy_check_reports_every_fault():
    deploy_file = "deploy/system.toml"
    assert run("settings", "check", "--kind", "deploy", deploy_file)[0] == 0
    text = 'build = 1\n[roles.a]\nrun = "x"\nserves = ["frnt"]\nshre = 1.0\n'
    with temporary_file(text) as name:
        status, _, err = run("settings", "check", "--kind", "deploy", name)
    assert status == 2
    for path in ("/build", "/roles/a/on", "/roles/a/shre", "/roles/a/serves"):
        assert f"{name}: {path}: " in err, (path, err)


def test_exit_status_of_unreachable_instance_and_invalid_arguments():
    status, _, err = run("status", "--instance", "127.0.0.1:9")
    assert (status, "no instance responded" in err) == (1, True)
    assert run("status", "--instance", "nowhere")[0] == 2
    assert run("settings")[0] == 2


def test_deploy_check_of_packages_and_unknown_top_level_keys():
    text = 'build = "true"\n{}\n[roles.a]\nrun = "x"\non = "front"\n'
    text += 'serves = ["front", "directory"]\n'
    for line, fault in (
        ('packages = ["python3"]', ""),
        ("packages = 3", "/packages: must be a list of names (value: 3)"),
        ("biuld = 1", "/biuld: unknown key (value: 1)"),
    ):
        with temporary_file(text.format(line)) as name:
            status, _, err = run("settings", "check", "--kind", "deploy", name)
        assert status == (2 if fault else 0)
        assert fault in err


def test_subcommands_against_a_running_instance():
    with small_deployment(names=["east-1"]) as deployment:
        common = ["--instance", lookup_address(deployment)]
        with temporary_file("c") as credential, temporary_file("no") as invalid:
            team = ["--team", "desk", "--credential-file", credential]
            status, out, _ = run("lookup", "desk", *common)
            assert (status, "east-1" in out) == (0, True)
            status, out, err = run("settings", "show", "--team", "desk", *common)
            assert (status, err.strip()) == (0, "version 1")
            subtree = json.loads(out)
            assert run("drain", "east-ep1", *team, *common)[0] == 0
            deployment.wait_for_version(2)
            with temporary_file(subtree) as name:
                put = ["settings", "put", *team, "--base", "1", name, *common]
                status, out, err = run(*put)
                assert (status, "based on version 1, now 2" in out) == (3, True)
                diff = ["settings", "diff", "--team", "desk", name, *common]
                status, out, _ = run(*diff)
                assert (status, "leaving" in out) == (1, True)
            unauthorized = ["--team", "desk", "--credential-file", invalid]
            assert run("drain", "east-ep1", *unauthorized, *common)[0] == 1
            shift = ["shift", "start", "m", "--service", "desk", "--from", "east"]
            shift += ["--to", "west", "--fraction", "0.5", "--cap", "5"]
            assert run(*shift, *team, *common)[0] == 0
            deployment.wait_for_version(3)
            status, out, _ = run("shift", "status", "--json", *common)
            assert json.loads(out)[0]["target"] == 0.5
            assert run("shift", "stop", "m", *team, *common)[0] == 0
            assert run("shift", "stop", "nope", *team, *common)[0] == 1
            status, out, _ = run("settings", "history", "--json", *common)
            assert [row["team"] for row in json.loads(out)] == ["desk"] * 3


def test_wait_reports_unresponsive_instances():
    with small_deployment(instances=2, regions=("east",)) as deployment:
        common = ["--instance", lookup_address(deployment), "--wait", "--wait-s", "2"]
        deployment.fronts["east-2"].close()
        with temporary_file("c") as credential:
            team = ["--team", "desk", "--credential-file", credential]
            status, out, err = run("drain", "east-ep1", *team, *common)
        assert "accepted as version 2" in err
        assert "in force" in out and "no answer" in out
        assert status == 4


def test_status_shows_instances_and_headroom():
    with small_deployment(names=["east-1"]) as deployment:
        status, out, _ = run("status", "--instance", lookup_address(deployment))
        assert status == 0
        assert "100%" in out
