"""What a case saw: lines of a file, in the order in which they happened."""

import time
from pathlib import Path


class Record:
    """Writes what was sent, answered and run to `record.txt` of a case's folder."""

    def __init__(self, folder: Path):
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._started_at = time.monotonic()

    def add(self, text: str) -> None:
        """Add a line with the seconds since the start of the case."""
        seconds = time.monotonic() - self._started_at
        self._file.write(f"{seconds:8.3f} {text}\n")
        self._file.flush()

    def close(self) -> None:
        self._file.close()
