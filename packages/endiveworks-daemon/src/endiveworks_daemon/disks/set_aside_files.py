"""Damaged files that were moved aside, which take a part of the disk."""

import shutil
from pathlib import Path

from endiveworks.telemetry import logs

# Share of the disk from which on they are removed. The other disks hold what they held.
MAX_SHARE = 0.25
_BYTES_PER_MB = 1_000_000


def remove_if_large(data_dir: Path, disk_mb: float) -> float:
    """Removes the damaged files in a data folder if they take too much of the disk.

    Args:
        data_dir: The data folder.
        disk_mb: Size of the disk in megabytes; 0 if it is not limited.

    Returns:
        The megabytes that they still take.
    """
    folders = [path for path in data_dir.glob("damaged-*") if path.is_dir()]
    size_mb = sum(_size(folder) for folder in folders) / _BYTES_PER_MB
    if not disk_mb or size_mb <= disk_mb * MAX_SHARE:
        return size_mb if disk_mb else 0.0
    for folder in folders:
        shutil.rmtree(folder, ignore_errors=True)
        logs.logger("turns").error("damaged_files_removed", path=str(folder))
    return 0.0


def _size(folder: Path) -> int:
    return sum(path.stat().st_size for path in folder.iterdir() if path.is_file())
