import subprocess
import sys

OTHER_COMMANDS = ("settings", "config", "shift", "drain", "status", "lookup")
PROGRAM = """
import sys
from quetzalwall.cli.main import create_parser, main
try:
    main(["front", "--settings", "/none.json", "--check"])
finally:
    print(" ".join(name for name in sys.modules if name.startswith("quetzalwall.cli.")))
"""


# Each start of a daemon imported all subcommands, so that the starts of a large
# deployment took too long.
def test_daemon_imports_no_other_subcommand():
    done = subprocess.run([sys.executable, "-c", PROGRAM], stdout=subprocess.PIPE)
    imported = done.stdout.decode().split()
    assert "quetzalwall.cli.front_command" in imported
    assert not {f"quetzalwall.cli.{n}_command" for n in OTHER_COMMANDS} & set(imported)
