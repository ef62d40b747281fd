"""The record of a case: one line for each event, with the milliseconds since the case began."""

import time


class Record:
    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._began = time.monotonic()

    def now_ms(self):
        return int((time.monotonic() - self._began) * 1000)

    def note(self, event, **fields):
        told = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{self.now_ms():7d} ms  {event} {told}\n")
        self._file.flush()
