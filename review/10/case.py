"""Few requests are on their way when a part of a prompt begins to crash workers."""

import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common-2"))
import poison  # noqa: E402
import stage as st  # noqa: E402

PLAYED = 85.0
POISON_INTERVAL = 4.0
SOUND_INTERVAL = 6.0
EVENTS = 26  # of a defect summary of the sheet, on average
SOUND_PART = "5c1e07a2"  # the first part, shared by all requests


def deadly_parts():
    return [(SOUND_PART, 2520), (poison.DEADLY, 3780)]


def sound_parts():
    return [(SOUND_PART, 2520), (f"aa{random.randint(0, 46):06x}", 3780)]


async def case(stage):
    poison.EVENTS = EVENTS
    await poison.begin(stage)
    return await poison.play(stage, PLAYED, POISON_INTERVAL, SOUND_INTERVAL, deadly_parts,
                             sound_parts)


if __name__ == "__main__":
    STAGE = st.Stage(Path(__file__).resolve().parent)
    STAGE.run(lambda: case(STAGE))
