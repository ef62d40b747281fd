"""The frame of a case: its record, its temporary folder and its exit code."""

import asyncio
import os
import shutil
import signal
import sys
import tempfile
import traceback

from .deployment import CannotRun
from .record import Record

HELD, BROKEN, CANNOT_RUN = 0, 1, 2


def run_case(folder, play):
    """Runs `play(record, folder, trouble)`, which says whether the rule was broken."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(CANNOT_RUN))
    record = Record(folder / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.note("case", trouble=trouble)
    temporary = tempfile.mkdtemp(prefix="review-")
    try:
        code = BROKEN if asyncio.run(play(record, temporary, trouble)) else HELD
    except CannotRun as error:
        record.note("could-not-run", why=error)
        code = CANNOT_RUN
    except Exception as error:  # a fault of the script must not count as a broken rule
        record.note("could-not-run", why=repr(error))
        traceback.print_exc()
        code = CANNOT_RUN
    finally:
        # The nodes' own logs are kept on request.
        if "KEEP_LOGS" in os.environ:
            print(f"logs: {temporary}")
        else:
            shutil.rmtree(temporary, ignore_errors=True)
    record.note("exit", code=code)
    print({HELD: "held", BROKEN: "broken", CANNOT_RUN: "could not run"}[code])
    return code


def later(seconds, action):
    """Calls `action` after some seconds; a coroutine that it gives is run."""

    async def wait():
        await asyncio.sleep(seconds)
        result = action()
        if asyncio.iscoroutine(result):
            await result

    return asyncio.ensure_future(wait())
