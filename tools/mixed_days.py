#!/usr/bin/env python3
"""Draws days that mix every kind of trouble, long and short, at any moment and more than once, for `fleetbench run`.

    tools/mixed_days.py FOLDER FROM TO [--long | --planned | --core] [--kinds FILE]

FOLDER lies outside the repository; it gets a day for each seed FROM to TO-1, and the same seed draws the same day. `--long` makes the
troubles of the control side last up to 22 s and storms hold up to 300 changes. `--planned` has planned work alone, in series that overlap,
beside what clients do. `--core` has many troubles of the control side, in groups within one `contact_ms`. FILE is what `fleetbench kinds
SITE` prints: kinds that it doesn't name aren't drawn. The names of days are labels only.
"""

import argparse
import pathlib
import random
import re

import trouble_kinds
from trouble_kinds import Group

# The moments, in seconds, between which troubles begin.
FIRST_MOMENT, LAST_MOMENT = 0.5, 27.0
# How long troubles last, in seconds: most are short, some of a long day's are not.
SHORT, LONG = (0.2, 6.0), (6.0, 22.0)
# Troubles of a group begin within this many seconds of each other: the bench's `contact_ms`.
GROUP_SPAN = 3.0
# How likely a trouble belongs to the group of the one before.
GROUP_CHANCE, GROUP_CHANCE_CORE = 0.35, 0.7
# How many entries a day has at most: planned work, that of a day of planned work alone, troubles by group.
MOST_PLANNED, MOST_PLANNED_ALONE, MOST_CONTROL, MOST_CONTROL_CORE, MOST_OTHER = 6, 14, 6, 10, 4
CLOSING_CHANCE = 0.8
SORTS = ("mixed", "long", "planned", "core")


class Draw:
    """Random numbers by a seed, and the figures drawn from them."""

    def __init__(self, seed, long):
        self.random = random.Random(seed)
        self.long = long

    def pick(self, *words):
        """One of some values."""
        return self.random.choice(words)

    def number(self, least, most):
        """A whole number between the two, both included."""
        return self.random.randint(least, most)

    def chance(self, probability):
        """Whether something with this probability comes about."""
        return self.random.random() < probability

    def length(self):
        """How long a trouble lasts, in seconds."""
        return round(self.random.uniform(*(LONG if self.long and self.chance(0.4) else SHORT)), 2)

    def share(self, most=0.5):
        """A share of the things that fit."""
        return round(self.random.uniform(0.1, most), 2)


class Day:
    """One day that is being drawn."""

    def __init__(self, seed, sort, allowed=None):
        self.seed, self.sort, self.allowed = seed, sort, allowed
        self.draw = Draw(seed, sort == "long")

    def is_drawn(self, kind):
        """Whether the deployment has a kind."""
        if self.allowed is None:
            return kind.name not in trouble_kinds.RARE_KINDS
        return kind.name in self.allowed

    def kinds(self, *groups):
        """The kinds of some groups, each as often as its weight says."""
        kinds = (kind for kind in trouble_kinds.ALL_KINDS if kind.group in groups and self.is_drawn(kind))
        return [kind for kind in kinds for _ in range(kind.weight)]

    def how(self, kind):
        """The words of `how`."""
        words = [self.draw.pick(*kind.variants)]
        # Where all hosts of a service go for good, nothing is left that could be served.
        if kind.name in trouble_kinds.HOST_KINDS and "gone" not in words:
            words.append(self.draw.pick(*trouble_kinds.HOST_CHOICES))
        if kind.is_cut:
            words.append(self.draw.pick(*trouble_kinds.CUT_REPLIES))
        if kind.chooses_machines:
            words.insert(0, self.draw.pick(*trouble_kinds.MACHINE_CHOICES))
            words.append(self.draw.pick(*trouble_kinds.AFTERWARDS))
        return " ".join(dict.fromkeys(" ".join(words).split()))

    def entry(self, kind, moment):
        """One entry of the day."""
        entry = {"at": round(moment, 2), "kind": kind.name}
        if kind.group is not Group.PLANNED:
            entry["for_s"] = self.draw.length()
        return entry | kind.fields(self.draw) | {"how": self.how(kind)}

    def entries(self, kinds, most):
        """Some entries, in the order of their moments."""
        chance = GROUP_CHANCE_CORE if self.sort == "core" else GROUP_CHANCE
        drawn, moment = [], None
        for _ in range(self.draw.number(2, most)):
            if moment is not None and self.draw.chance(chance):
                moment = min(moment + self.draw.random.uniform(0, GROUP_SPAN), LAST_MOMENT)
            else:
                moment = self.draw.random.uniform(FIRST_MOMENT, LAST_MOMENT)
            drawn.append(self.entry(self.draw.pick(*kinds), moment))
        return sorted(drawn, key=lambda entry: entry["at"])

    def faults(self):
        """What isn't planned."""
        if self.sort == "planned":
            return self.entries(self.kinds(Group.CLIENT), MOST_OTHER)
        control = self.entries(self.kinds(Group.CONTROL), MOST_CONTROL_CORE if self.sort == "core" else MOST_CONTROL)
        other = self.entries(self.kinds(Group.OTHER, Group.CLIENT), MOST_OTHER)
        return sorted(control + other, key=lambda entry: entry["at"])

    def plan(self):
        """Planned work."""
        kinds = self.kinds(Group.PLANNED)
        if self.sort != "planned":
            return self.entries(kinds, MOST_PLANNED)
        # Planned work alone has more of what stops processes.
        stops = [kind for kind in kinds if kind.name in ("roll_term", "hup")]
        return self.entries(kinds + stops, MOST_PLANNED_ALONE)

    def closing(self):
        """The final fault, if there is one."""
        if not self.draw.chance(CLOSING_CHANCE):
            return None
        closing = {"kind": self.draw.pick(*trouble_kinds.CLOSINGS), "down_s": round(self.draw.random.uniform(0.4, 1.6), 2)}
        return closing | {"how": self.draw.pick(*trouble_kinds.CLOSING_VARIANTS)}

    def text(self, name):
        """The day as TOML."""
        plan, faults, closing = self.plan(), self.faults(), self.closing()
        lines = [f'name = "{name}"', 'slot = "trouble"', f"seed = {self.seed}"]
        if closing:
            lines.append(f"closing = {inline_table(closing)}")
        for title, entries in (("plan", plan), ("faults", faults)):
            lines += [f"{title} = ["] + [f"  {inline_table(entry)}," for entry in entries] + ["]"]
        return "\n".join(lines) + "\n"


def inline_table(entry):
    """An entry as an inline table of TOML; empty words are left out."""
    fields = (f'{name} = "{value}"' if isinstance(value, str) else f"{name} = {value}" for name, value in entry.items() if value != "")
    return "{ " + ", ".join(fields) + " }"


def kinds_listed(text):
    """The names of kinds in what `fleetbench kinds SITE` prints."""
    return set(re.findall(r"^([a-z]+_[a-z_]+|burst|garble|release|revoke|hup): ", text, re.MULTILINE))


def main():
    """Writes the days."""
    parser = argparse.ArgumentParser(description="Draws days that mix every kind of trouble.")
    parser.add_argument("folder", type=pathlib.Path)
    parser.add_argument("first", type=int)
    parser.add_argument("end", type=int)
    sorts = parser.add_mutually_exclusive_group()
    for sort in SORTS[1:]:
        sorts.add_argument(f"--{sort}", dest="sort", action="store_const", const=sort, default="mixed")
    parser.add_argument("--kinds", type=pathlib.Path)
    options = parser.parse_args()
    allowed = options.kinds and kinds_listed(options.kinds.read_text())
    options.folder.mkdir(parents=True, exist_ok=True)
    for seed in range(options.first, options.end):
        name = f"{options.sort}-{seed}"
        (options.folder / f"{name}.toml").write_text(Day(seed, options.sort, allowed).text(name))
        print(options.folder / f"{name}.toml")


if __name__ == "__main__":
    main()
