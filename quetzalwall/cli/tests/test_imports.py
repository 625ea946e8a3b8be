import subprocess
import sys

OTHERS = ("settings", "shift", "drain", "status", "lookup")
PROGRAM = """
import sys
from quetzalwall.cli.main import create_parser, main
try:
    main(["front", "--settings", "/none.json", "--check"])
finally:
    print(" ".join(name for name in sys.modules if name.startswith("quetzalwall.cli.")))
"""


# "The day takes too long to play", at scale: each start imported all subcommands.
def test_a_daemon_imports_no_other_subcommand():
    done = subprocess.run([sys.executable, "-c", PROGRAM], stdout=subprocess.PIPE)
    found = done.stdout.decode().split()
    assert "quetzalwall.cli.front_command" in found
    assert not {f"quetzalwall.cli.{name}_command" for name in OTHERS} & set(found)
