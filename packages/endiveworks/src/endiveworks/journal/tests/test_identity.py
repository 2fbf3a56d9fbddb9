"""A data folder that has just been made."""

import os
from pathlib import Path

import pytest
from endiveworks.journal import identity


class TestNewFolder:
    def test_a_new_folder_does_not_vanish_at_a_loss_of_power(
        self, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        synced: list[tuple[Path, bool]] = []
        folder = tmp_path / "disk"

        def sync_dir(path: Path) -> None:
            synced.append((path, (folder / "identity.json").exists()))

        monkeypatch.setattr(identity, "sync_dir", sync_dir)
        _, lock = identity.lock_data_dir(folder, "test").unwrap()
        os.close(lock)
        # An identity means that the folder's own name has been synced.
        assert synced == [(tmp_path, False), (folder, True)]
