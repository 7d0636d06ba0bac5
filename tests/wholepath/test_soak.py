"""A short seeded soak, and every seed that ever broke a promise."""

import os
import unittest

from soak import play

SECONDS = 8.0
# Seeds that failed once, each with its cause.
REGRESSIONS = ()


class SoakTest(unittest.TestCase):
    def test_promises_hold_under_random_faults(self):
        for seed in (1, *REGRESSIONS):
            with self.subTest(seed=seed):
                self.assertEqual(play(os.environ["BUILD_DIR"], seed, SECONDS), [])


if __name__ == "__main__":
    unittest.main()
