from endiveworks.calls.stream import _Sink


class TestSink:
    def test_writes_no_more_once_its_writer_is_full(self) -> None:
        written: list[bytes] = []

        def write(data: bytes) -> bool:
            written.append(data)
            return False

        sink = _Sink(0, write)
        sink.push(b"one")
        sink.push(b"two")
        assert written == [b"one"]
        assert sink.offset == len(b"one")
