"""Options that several commands share."""

from pathlib import Path
from typing import Annotated

import cappa

from wheatslip_cli.output import Format

SettingsFile = Annotated[Path, cappa.Arg(short="-s", long="settings", help="Settings (INI).")]
Output = Annotated[Format, cappa.Arg(short="-o", long="output", help="table or json.")]
DEFAULT_SETTINGS = Path("wheatslip.ini")
