"""Starts host processes for the stand-ins, whose loop a start would delay.

Commands arrive as JSON lines on the standard input: name, settings and log of a host.
Starts and ends are reported as JSON lines. At the end of the input, all are killed.
"""

import json
import os
import subprocess
import sys
import threading


def report(**fields):
    """Write a report."""
    sys.stdout.write(json.dumps(fields) + "\n")
    sys.stdout.flush()


def watch(name, process):
    """Report the end of a process."""
    report(name=name, ended=process.wait())


def main():
    """Execute commands until the input ends."""
    processes = []
    for line in sys.stdin:
        command = json.loads(line)
        environment = {
            "PATH": os.environ["PATH"],
            "CITRONSPRING_BOOT": command["settings"],
        }
        with open(command["log"], "ab") as log:
            process = subprocess.Popen(
                ["python3", "-S", "deploy/host.py"],
                cwd=command["root"],
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        processes.append(process)
        report(name=command["name"], pid=process.pid)
        arguments = (command["name"], process)
        threading.Thread(target=watch, args=arguments, daemon=True).start()
    for process in processes:
        if process.poll() is None:
            process.kill()
        process.wait()


if __name__ == "__main__":
    main()
