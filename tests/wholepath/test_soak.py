"""A short soak test with a fixed seed, and with all seeds that once failed."""

import os
import unittest

from soak import run_soak

SECONDS = 8.0
# Seeds that failed before, each with the cause.
REGRESSIONS = ()


class SoakTest(unittest.TestCase):
    def test_guarantees_hold_under_random_faults(self):
        for seed in (1, *REGRESSIONS):
            with self.subTest(seed=seed):
                self.assertEqual(run_soak(os.environ["BUILD_DIR"], seed, SECONDS), [])


if __name__ == "__main__":
    unittest.main()
