#!/usr/bin/env python3
"""Compares the days that `mixed_days.py` draws with the kinds and words of `how` that the bench names.

    fleetbench kinds SITE | tools/check_trouble_kinds.py

Prints each kind, and each word of a kind's `how`, that is named there and never drawn; exit code 1 if there are any.
"""

import re
import sys

import mixed_days

# Days of each sort that are drawn for the comparison.
DAYS = 600
ENTRY_LINE = re.compile(r"^([a-z]+(?:_[a-z]+)*): (.*)$")
CLOSING_LINE = re.compile(r"^closing = \{ kind = ([^,]+),")
# What may precede a list of words of `how`, or one word.
HOW_LIST = re.compile(r"\bhow: ([^;:]*)")
HOW_WORD = re.compile(r"\bhow ([a-z_]+)\b(?! holds)")
ADDED_WORD = re.compile(r"\+ ([a-z_]+)\b")
WITH_WORD = re.compile(r"\bwith ([a-z_]+)\b")
# A word that is followed by what it means ("drain, they drain; dark, they fall silent").
EXPLAINED_WORD = re.compile(r"\b([a-z_]+), they [a-z ]+")
# Words after `with` that are plain English.
ORDINARY_WORDS = frozenset(("a", "an", "how", "the", "them", "those", "empty", "other"))
# The general part's words: which machines, what follows, which hosts, how a cut answers.
GENERAL_WORDS = ("across", "all", "turn", "leader", "reader", "giver", "seed", "meet", "race", "hard", "drain", "busy", "reset", "refuse")


def without_parentheses(text):
    """A text without what stands in parentheses, however deep."""
    depth, kept = 0, []
    for character in text:
        depth += character == "("
        if depth == 0:
            kept.append(character)
        depth -= character == ")"
    return "".join(kept)


def parenthesised(text):
    """What stands in the outermost parentheses of a text, piece by piece."""
    depth, piece = 0, []
    for character in text:
        depth -= character == ")"
        if depth == 0 and piece:
            yield "".join(piece)
            piece = []
        if depth > 0:
            piece.append(character)
        depth += character == "("


def words_of_how(text):
    """The words of `how` that the description of a kind names."""
    plain = without_parentheses(text)
    words = set(EXPLAINED_WORD.findall(plain))
    plain = EXPLAINED_WORD.sub(r"\1", plain)
    for found in HOW_LIST.finditer(plain):
        words.update(re.findall(r"[a-z_]+", found[1]))
    for pattern in (HOW_WORD, ADDED_WORD):
        words.update(pattern.findall(plain))
    words.update(word for word in WITH_WORD.findall(plain) if word not in ORDINARY_WORDS)
    for piece in parenthesised(text):
        words |= words_of_how(piece)
    return words


def named_by_bench(text):
    """Kind by kind the words of `how` that the bench names; '' stands for what holds for all kinds, 'closing' for the end of a day."""
    named = {"": {word for word in GENERAL_WORDS if re.search(rf"\b{word}\b", text)}}
    for line in text.splitlines():
        closing, entry = CLOSING_LINE.match(line), ENTRY_LINE.match(line)
        if closing:
            named["closing"] = set(re.findall(r"[a-z_]+", closing[1])) | set(HOW_WORD.findall(line))
        elif entry and entry[1] not in ("zone", "plan"):
            named[entry[1]] = words_of_how(entry[2])
    return named


def drawn_words(allowed):
    """Kind by kind the words of `how` that are drawn."""
    drawn = {"": set(), "closing": set()}
    for sort in mixed_days.SORTS:
        for seed in range(DAYS):
            day = mixed_days.Day(seed, sort, allowed)
            for entry in day.plan() + day.faults():
                drawn.setdefault(entry["kind"], set()).update(entry["how"].split())
                drawn[""].update(entry["how"].split())
            closing = day.closing() or {}
            drawn["closing"].update(f"{closing.get('kind', '')} {closing.get('how', '')}".split())
    return drawn


def missing(text):
    """The kinds and words that the bench names and no day has, one a line."""
    drawn = drawn_words(mixed_days.kinds_listed(text))
    for kind, words in sorted(named_by_bench(text).items()):
        if kind not in drawn:
            yield f"{kind}: never drawn"
        for word in sorted(words - drawn.get(kind, set())):
            yield f"{kind or 'any kind'}: how '{word}' never drawn"


def main():
    """Compares what stands on standard input."""
    lines = list(missing(sys.stdin.read()))
    for line in lines:
        print(line)
    return 1 if lines else 0


if __name__ == "__main__":
    sys.exit(main())
