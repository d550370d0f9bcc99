"""Runs a program of the platform on a disk that answers no sync while a file exists: ``stalling_disk.py control``."""

from __future__ import annotations

import os
import runpy
import sys
import time
from pathlib import Path

PLATFORM = Path(__file__).parents[2] / "platform"
# Path of the file that stalls the disk.
STALL_VARIABLE = "SOAK_STALL_FILE"
POLL_S = 0.01


def main() -> None:
    """Delays each sync of the log, which its writer thread makes, and runs the program."""
    stall_file = Path(os.environ[STALL_VARIABLE])
    sync = os.fdatasync

    def sync_when_disk_answers(descriptor: int) -> None:
        while stall_file.exists():
            time.sleep(POLL_S)
        sync(descriptor)

    os.fdatasync = sync_when_disk_answers  # type: ignore[assignment]
    sys.path.insert(0, str(PLATFORM))
    sys.argv[0] = str(PLATFORM / "run.py")
    runpy.run_path(sys.argv[0], run_name="__main__")


if __name__ == "__main__":
    main()
