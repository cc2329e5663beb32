#!/usr/bin/env python3
"""Draws days that mix every kind of trouble, long and short, at any moment and more than once, for `fleetbench run`.

    tools/mixed_days.py FOLDER FROM TO [--long | --planned]     FOLDER lies outside the repository; a day for each seed FROM to TO-1

The same seed draws the same day. `--long` makes the troubles of the control side last up to 22 s and storms hold up to
300 changes. `--planned` has planned work alone, in series that overlap, beside what clients do. The names of days are labels only.
"""

import pathlib
import random
import sys

# What a trouble's `how` may hold besides its own words, for those that strike machines.
AFTERWARDS = ("", "", "", " meet", " race", " hard", " drain", " race drain", " meet drain")
# The moments, in seconds, between which troubles begin.
FIRST_MOMENT, LAST_MOMENT = 0.5, 27.0
# How long troubles last, in seconds: most are short, some of a long day's are not.
SHORT, LONG = (0.2, 6.0), (6.0, 22.0)

CONTROL_FAULTS = (
    "node_freeze", "core_cut", "core_cut", "node_kill", "herd_kill", "after_ack_wipe", "after_ack_kill", "disk_slow",
    "disk_full", "disk_stall", "ack_lost", "clock_step", "node_slow", "replace_core", "replace_core",
)
OTHER_FAULTS = (
    "burst", "hot_key", "srv_crash", "answer_lost", "garble", "node_cut", "retry_abuse", "give_up", "srv_slow",
    "srv_grey", "srv_cut", "replace_with_reuse", "reset_conns", "node_kill",
)
PLANS = (
    "config_change", "config_storm", "config_storm", "config_race", "config_race", "bad_config", "big_config", "release",
    "scale_out", "scale_in", "roll_term", "roll_term", "seed_turnover", "hup",
)
# Planned work alone has more of what stops processes.
PLANS_ALONE = PLANS + ("roll_term", "roll_term", "hup", "hup")
# What clients do by themselves; no machine or link is in trouble by it.
CLIENT_FAULTS = ("burst", "hot_key", "hot_key", "retry_abuse", "give_up")
# How many entries of planned work a day has at most, and one of planned work alone.
MOST_PLANNED, MOST_PLANNED_ALONE = 6, 14
CLOSINGS = ("power_off_all", "wipe_after_ack", "kill_all")


class Day:
    """One day that is being drawn."""

    def __init__(self, seed, long, planned):
        self.draw = random.Random(seed)
        self.long = long
        self.planned = planned

    def pick(self, *words):
        """One of some words."""
        return self.draw.choice(words)

    def length(self):
        """How long a trouble lasts."""
        return round(self.draw.uniform(*(LONG if self.long and self.draw.random() < 0.4 else SHORT)), 2)

    def share(self, most=0.5):
        """A share of the things that fit."""
        return round(self.draw.uniform(0.1, most), 2)

    def machine(self, *ways):
        """Which counted machine is struck, and what is done to it afterwards."""
        return self.pick("", "leader", "leader", "turn", "seed", *ways) + self.pick(*AFTERWARDS)

    def fault(self, kind, control):
        """The fields of a fault."""
        strike = {"for_s": self.length()}
        if control and kind in ("node_freeze", "node_slow", "node_kill"):
            words = self.machine() + (self.pick("", " power") if kind == "node_kill" else "")
            return strike | {"on": "core", "count": 1, "how": words.strip()}
        fields = {
            "node_slow": lambda: {"share": self.share(0.3), "x": self.pick(3, 6)},
            "core_cut": lambda: {"count": 1, "how": self.core_cut()},
            "herd_kill": lambda: {"on": "core", "how": self.pick("", "power", "taken", "taken all")},
            "after_ack_wipe": lambda: {"how": self.pick("", "oldest", "timed")},
            "after_ack_kill": lambda: {"how": self.pick("", "kill", "timed", "taken", "taken gone")},
            "disk_slow": lambda: {"count": 1, "x": self.pick(10, 30), "how": self.pick("", "leader")},
            "disk_full": lambda: {"count": 1, "how": self.pick("", "leader")},
            "disk_stall": lambda: {"count": 1, "how": self.pick("", "leader")},
            "ack_lost": lambda: {"x": self.pick(0.3, 0.5, 0.7)},
            "clock_step": lambda: {"x": self.pick(700, 2000, 8000), "share": self.share(), "how": self.pick("back", "ahead")},
            "replace_core": lambda: {"x": self.pick(0.3, 1.0, 3.0), "how": self.pick("", "planned", "oldest")},
            "burst": lambda: {"x": self.pick(1.3, 1.6)},
            "hot_key": lambda: {"share": self.share(0.3)},
            "srv_crash": lambda: {"share": self.share(0.2), "how": self.pick("", "dark", "gone")},
            "answer_lost": lambda: {"share": 0.5, "x": 0.05, "how": self.pick("", "reset")},
            "garble": lambda: {"share": 0.5, "x": 0.03, "how": self.pick("", "extra", "extra late", "unframed", "early")},
            "node_cut": lambda: {"share": self.share(0.2), "how": self.pick("", "all", "servers")},
            "retry_abuse": lambda: {"share": self.share(0.3), "x": 2},
            "give_up": lambda: {"share": self.share(0.3), "x": 200},
            "srv_slow": lambda: {"share": self.share(0.2), "x": 4},
            "srv_grey": lambda: {"share": self.share(0.2), "x": 0.4, "how": self.pick("errors", "shed", "hang", "reset", "mute")},
            "srv_cut": lambda: {"share": self.share(0.2), "how": self.pick("", "fronts", "one_way", "reset")},
            "replace_with_reuse": lambda: {"share": self.share(0.2), "how": self.pick("", "drain", "dark")},
            "reset_conns": lambda: {"share": self.share(), "x": 0.5},
            "node_kill": lambda: {"share": self.share(0.2), "how": self.pick("", "power")},
        }
        return strike | fields[kind]()

    def core_cut(self):
        """How a core machine is cut off."""
        words = self.pick("", "leader", "turn") + self.pick("", " all", " near", " one_way", " seeds", " both", " both seeds")
        return (words + self.pick(*AFTERWARDS)).strip()

    def plan(self, kind):
        """The fields of planned work."""
        storm = (60, 300) if self.long else (8, 60)
        fields = {
            "config_change": lambda: {"how": self.pick("route", "weights", "timeout", "idle")},
            "config_storm": lambda: {"count": self.draw.randint(*storm), "gap_s": self.pick(0.05, 0.1, 0.3)},
            "config_race": lambda: {"count": self.draw.randint(2, 10), "gap_s": self.pick(0.3, 1.0)},
            "bad_config": lambda: {"count": 4, "gap_s": 0.5},
            "big_config": lambda: {"count": self.pick(100, 400, 1500)},
            "release": lambda: {"share": self.share(), "x": 1.0, "gap_s": 1.0},
            "scale_out": lambda: {"share": 0.3, "gap_s": 2.0},
            "scale_in": lambda: {"share": 0.15, "how": self.pick("", "spot")},
            "roll_term": lambda: self.roll(),
            "seed_turnover": lambda: {},
            "hup": lambda: {"share": self.share(), "gap_s": 2.0},
        }
        return fields[kind]()

    def roll(self):
        """Machines that are stopped and started in turn."""
        where = {"on": "core"} if self.draw.random() < 0.5 else {"share": self.share()}
        at_once = self.pick(1.0, 1.0, 2.0, 3.0)
        return where | {"x": at_once, "gap_s": self.pick(0.5, 1.0, 2.0), "how": self.pick("", "busy", "", "leader meet", "remove")}

    def entries(self, kinds, fields, most):
        """Some entries, in the order of their moments."""
        drawn = []
        for _ in range(self.draw.randint(2, most)):
            kind = self.pick(*kinds)
            moment = round(self.draw.uniform(FIRST_MOMENT, LAST_MOMENT), 2)
            drawn.append({"at": moment, "kind": kind} | fields(kind))
        return sorted(drawn, key=lambda entry: entry["at"])

    def all_faults(self):
        """Faults of every kind."""
        control = self.entries(CONTROL_FAULTS, lambda kind: self.fault(kind, True), 6)
        other = self.entries(OTHER_FAULTS, lambda kind: self.fault(kind, False), 4)
        return sorted(control + other, key=lambda entry: entry["at"])

    def client_faults(self):
        """What clients do."""
        return self.entries(CLIENT_FAULTS, lambda kind: self.fault(kind, False), 4)

    def text(self, name, seed):
        """The day as TOML."""
        if self.planned:
            plan = self.entries(PLANS_ALONE, self.plan, MOST_PLANNED_ALONE)
        else:
            plan = self.entries(PLANS, self.plan, MOST_PLANNED)
        faults = self.client_faults() if self.planned else self.all_faults()
        lines = [f'name = "{name}"', 'slot = "trouble"', f"seed = {seed}"]
        if self.draw.random() < 0.8:
            closing = {"kind": self.pick(*CLOSINGS), "down_s": round(self.draw.uniform(0.4, 1.6), 2)}
            how = self.pick("", "", "timed", "taken", "oldest")
            lines.append(f"closing = {table(closing | ({'how': how} if how else {}))}")
        for title, entries in (("plan", plan), ("faults", faults)):
            lines += [f"{title} = ["] + [f"  {table(entry)}," for entry in entries] + ["]"]
        return "\n".join(lines) + "\n"


def table(entry):
    """An entry as an inline table; empty words are left out."""
    fields = (f'{name} = "{value}"' if isinstance(value, str) else f"{name} = {value}" for name, value in entry.items() if value != "")
    return "{ " + ", ".join(fields) + " }"


def main():
    arguments = [word for word in sys.argv[1:] if not word.startswith("--")]
    folder, first, end = pathlib.Path(arguments[0]), int(arguments[1]), int(arguments[2])
    long, planned = "--long" in sys.argv, "--planned" in sys.argv
    sort = "long" if long else "planned" if planned else "mixed"
    folder.mkdir(parents=True, exist_ok=True)
    for seed in range(first, end):
        name = f"{sort}-{seed}"
        (folder / f"{name}.toml").write_text(Day(seed, long, planned).text(name, seed))
        print(folder / f"{name}.toml")


if __name__ == "__main__":
    main()
