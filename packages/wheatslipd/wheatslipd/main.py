"""The `wheatslipd` command: checks the settings and runs one daemon."""

import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa
from result import Err, Ok

from wheatslipd import __version__
from wheatslipd.run import EXIT_BAD_SETTINGS, run_daemon
from wheatslipd.settings import Settings, default_text, load_settings
from wheatslipd.telemetry import logs


@cappa.command(
    name="wheatslipd",
    description=(
        "Runs one wheatslip daemon beside a backend server. "
        "Exit codes: 0 stopped on request, 1 failed, 2 invalid settings or usage."
    ),
)
@dataclass
class Wheatslipd:
    """Run one wheatslip daemon beside a backend server."""

    settings: Annotated[
        Path | None, cappa.Arg(short="-s", long=True, help="The settings file (INI).")
    ] = None
    check_settings: Annotated[
        bool, cappa.Arg(long=True, help="Check the settings file and exit.")
    ] = False
    print_defaults: Annotated[
        bool, cappa.Arg(long=True, help="Print the commented default settings and exit.")
    ] = False

    def __call__(self) -> int:
        """Run the command; returns the exit code."""
        if self.print_defaults:
            print(default_text(), end="")
            return 0
        if self.settings is None:
            print("wheatslipd: --settings FILE is required", file=sys.stderr)
            return EXIT_BAD_SETTINGS
        match load_settings(self.settings):
            case Err(problems):
                for problem in problems:
                    print(problem, file=sys.stderr)
                return EXIT_BAD_SETTINGS
            case Ok(settings):
                return self._run(settings)
        raise AssertionError

    def _run(self, settings: Settings) -> int:
        if self.check_settings:
            print(f"{self.settings}: settings are good")
            return 0
        assert self.settings is not None
        destination = logs.start_logging(settings.log_level, settings.log_file)
        return run_daemon(settings, self.settings, destination)


def main() -> None:
    """Entry point of the `wheatslipd` command."""
    command = cappa.parse(Wheatslipd, version=__version__, completion=False)
    sys.exit(command())


if __name__ == "__main__":
    main()
