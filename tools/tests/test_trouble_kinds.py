"""Tests of the tools that draw days: `python3 -m unittest discover tools/tests`."""

import pathlib
import sys
import tomllib
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).parents[1]))

import check_trouble_kinds
import mixed_days
import trouble_kinds

# A list of kinds in the form of the bench's, with each form of words that it has.
LISTED = """\
For machines, 'how' may also hold turn or seed. After these may stand meet.
closing = { kind = power_off_all | kill_all, down_s } strikes at the end (how timed: later; how oldest: the old ones)

srv_crash: share (.15) of the hosts; how: dark (silent), gone (for good)
replace_with_reuse: share (.15) crash (how: drain, they drain; dark, they fall silent); others come
scale_in: share; how: spot (x s (2) after), reclaim (all, with dry nowhere)
srv_grey: how: errors shed, slow (x (8) times as long), + one_zone (only for some)
herd_kill: share (.6); how: power; on core: all, with how off they lose power; how taken: counted (+ all: every one)
node_kill: share (.1): SIGKILL; how: power (dark for for_s)
burst: x times the traffic
"""


class NamedKinds(unittest.TestCase):
    """What is read from the bench's list."""

    def test_words_of_each_form_are_read(self):
        named = check_trouble_kinds.named_by_bench(LISTED)
        self.assertEqual(named["srv_crash"], {"dark", "gone"})
        self.assertEqual(named["replace_with_reuse"], {"drain", "dark"})
        self.assertEqual(named["scale_in"], {"spot", "reclaim", "dry"})
        self.assertEqual(named["srv_grey"], {"errors", "shed", "slow", "one_zone"})
        self.assertEqual(named["herd_kill"], {"power", "off", "taken", "all"})
        self.assertEqual(named["closing"], {"power_off_all", "kill_all", "timed", "oldest"})
        self.assertEqual(named["burst"], set())
        self.assertTrue({"turn", "seed", "meet"} <= named[""])

    def test_list_whose_kinds_are_all_drawn_has_nothing_missing(self):
        self.assertEqual(list(check_trouble_kinds.missing(LISTED)), [])

    def test_kind_and_word_that_are_never_drawn_are_missing(self):
        lines = list(check_trouble_kinds.missing(LISTED + "srv_melt: how: hot\nrelease: how: sideways\n"))
        self.assertEqual(lines, ["release: how 'sideways' never drawn", "srv_melt: never drawn", "srv_melt: how 'hot' never drawn"])


class DrawnDays(unittest.TestCase):
    """What is drawn."""

    def test_same_seed_draws_the_same_day(self):
        for sort in mixed_days.SORTS:
            self.assertEqual(mixed_days.Day(7, sort).text("a"), mixed_days.Day(7, sort).text("a"))

    def test_each_variant_of_each_kind_is_drawn(self):
        drawn = check_trouble_kinds.drawn_words(None)
        for kind in trouble_kinds.ALL_KINDS:
            if kind.name not in trouble_kinds.RARE_KINDS:
                words = {word for variant in kind.variants for word in variant.split()}
                self.assertLessEqual(words, drawn[kind.name], kind.name)

    def test_hosts_that_go_for_good_are_never_all_of_a_service(self):
        for seed in range(300):
            for entry in mixed_days.Day(seed, "mixed").faults():
                words = entry["how"].split()
                self.assertFalse("gone" in words and {"all", "across"} & set(words), entry)

    def test_kinds_that_the_deployment_lacks_are_not_drawn(self):
        allowed = mixed_days.kinds_listed(LISTED)
        for seed in range(200):
            day = mixed_days.Day(seed, "planned", allowed)
            self.assertLessEqual({entry["kind"] for entry in day.plan() + day.faults()}, allowed)

    def test_days_are_toml_and_troubles_come_in_groups(self):
        grouped = 0
        for seed in range(100):
            day = tomllib.loads(mixed_days.Day(seed, "core").text("day"))
            moments = [entry["at"] for entry in day["faults"]]
            self.assertEqual(moments, sorted(moments))
            self.assertTrue(all(mixed_days.FIRST_MOMENT <= at <= mixed_days.LAST_MOMENT for at in moments))
            grouped += any(later - at < mixed_days.GROUP_SPAN for at, later in zip(moments, moments[2:]))
        self.assertGreater(grouped, 50)


if __name__ == "__main__":
    unittest.main()
