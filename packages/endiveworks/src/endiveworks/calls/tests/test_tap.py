from endiveworks.calls.stream import _Tap


class TestTap:
    def test_takes_no_more_once_its_writer_is_full(self) -> None:
        written: list[bytes] = []

        def write(data: bytes) -> bool:
            written.append(data)
            return False

        tap = _Tap(0, write)
        tap.push(b"one")
        tap.push(b"two")
        assert written == [b"one"]
        assert tap.offset == len(b"one")
