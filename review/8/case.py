"""The parts of prompts have long ids, next to the traffic of the sheet."""

import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common-2"))
import poison  # noqa: E402
import stage as st  # noqa: E402

PLAYED = 30.0
POISON_INTERVAL = 1.0
SOUND_INTERVAL = 1 / 10.1  # defect summaries of the sheet
ID_DIGITS = 32  # of a hash of 128 bits


def identity(text):
    return random.Random(text).getrandbits(4 * ID_DIGITS).to_bytes(ID_DIGITS // 2, "big").hex()


def deadly_parts():
    return [(identity(f"first {random.randint(0, 3)}"), 2520), (identity(poison.DEADLY), 3780)]


def sound_parts():
    return [(identity(f"first {random.randint(0, 3)}"), 2520),
            (identity(f"second {random.randint(0, 46)}"), 3780)]


async def case(stage):
    poison.DEADLY_PARTS.add(identity(poison.DEADLY))
    await poison.begin(stage)
    return await poison.play(stage, PLAYED, POISON_INTERVAL, SOUND_INTERVAL, deadly_parts,
                             sound_parts)


if __name__ == "__main__":
    STAGE = st.Stage(Path(__file__).resolve().parent)
    STAGE.run(lambda: case(STAGE))
