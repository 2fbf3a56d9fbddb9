import threading

from endiveworks.calls.stream import Chunk, FinalStatus, Stream

DONE = FinalStatus(200, "text/event-stream")


class TestRead:
    def test_readers_at_different_offsets_get_the_same_bytes(self) -> None:
        stream = Stream()
        stream.append(b"abc", 1)
        stream.append(b"def", 2)
        assert stream.read(0, 0.0) == Chunk(0, b"abcdef", None, 1)
        assert stream.read(4, 0.0).data == b"ef"

    def test_a_finished_stream_ignores_appends(self) -> None:
        stream = Stream()
        stream.finish(DONE)
        stream.append(b"late")
        stream.finish(FinalStatus(500, ""))
        assert stream.read(0, 0.0) == Chunk(0, b"", DONE, 0)


class TestPipe:
    def pipe(
        self, stream: Stream, max_writes: int
    ) -> tuple[bytearray, list[Chunk], threading.Thread]:
        """Pipes the stream on a thread, to a writer that refuses more after max_writes writes."""
        written = bytearray()
        writes = 0
        chunks: list[Chunk] = []

        def write(data: bytes) -> bool:
            nonlocal writes
            written.extend(data)
            writes += 1
            return writes < max_writes

        def run() -> None:
            chunks.append(stream.pipe(1, 4, write, 30.0))

        thread = threading.Thread(target=run)
        thread.start()
        return written, chunks, thread

    def test_bytes_are_written_by_the_appending_thread_until_the_end(self) -> None:
        stream = Stream()
        stream.append(b"abc", 4)
        written, chunks, thread = self.pipe(stream, 1000)
        for _ in range(50):
            stream.append(b"x")
        stream.finish(DONE)
        thread.join(30)
        rest = chunks[0]
        assert rest.final_status == DONE
        assert bytes(written) + rest.data == b"bc" + b"x" * 50
        assert rest.offset == 1 + len(written)

    def test_a_full_writer_returns_the_rest(self) -> None:
        stream = Stream()
        stream.append(b"abc", 4)
        written, chunks, thread = self.pipe(stream, 1)
        thread.join(30)
        stream.append(b"def")
        assert bytes(written) == b"bc"
        assert chunks == [Chunk(3, b"", None, 4)]

    def test_nothing_is_written_for_another_generation(self) -> None:
        stream = Stream()
        stream.append(b"abc", 5)
        written, chunks, thread = self.pipe(stream, 1000)
        thread.join(30)
        assert written == b""
        assert chunks == [Chunk(1, b"bc", None, 5)]
