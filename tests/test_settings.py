from endiveworks.settings.shared import CTL_SETTINGS, DAEMON_SETTINGS
from endiveworks_ctl import settings
from endiveworks_daemon.options import daemon_flags


class TestSharedNames:
    def test_each_program_knows_the_settings_of_the_other(self) -> None:
        assert daemon_flags().names() == DAEMON_SETTINGS
        assert settings.define().names() == CTL_SETTINGS

    def test_variables_of_the_other_program_are_no_errors(self) -> None:
        env = {"ENDIVEWORKS_DATA_DIR": "/data", "ENDIVEWORKS_KV": "127.0.0.1:1"}
        assert settings.define().parse(["version"], env).unwrap().text("kv") == "127.0.0.1:1"
