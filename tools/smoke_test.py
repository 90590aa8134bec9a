"""Run the binary alone in an empty directory and see that it starts."""

import pathlib
import shutil
import subprocess
import sys
import tempfile


def main(binary: str) -> int:
    """Copy the binary to an empty directory and run it there."""
    with tempfile.TemporaryDirectory() as directory:
        program = pathlib.Path(directory) / "berylhaven"
        shutil.copy2(binary, program)
        environment = {"PATH": "/usr/bin:/bin", "SHIV_ROOT": directory + "/unpacked"}
        environment["PATH"] = str(pathlib.Path(sys.executable).parent) + ":/usr/bin"
        answer = subprocess.run(
            [str(program), "version"],
            cwd=directory,
            env=environment,
            capture_output=True,
            text=True,
        )
    print(answer.stdout, answer.stderr, sep="", end="")
    return answer.returncode


if __name__ == "__main__":
    sys.exit(main(sys.argv[1]))
