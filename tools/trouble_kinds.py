"""The kinds of entries that a day of the bench can have, with their variants, and how the fields of each are drawn.

The table holds every kind and every word of `how` that `fleetbench kinds SITE` names; `check_trouble_kinds.py` compares both.
"""

import enum
import typing


class Group(enum.Enum):
    """What an entry strikes, or whose work it is."""

    CONTROL = "the counted machines, their disks and the operator's answers"
    OTHER = "hosts, proxies and links"
    CLIENT = "what clients do by themselves; no machine or link is in trouble by it"
    PLANNED = "planned work"


class Kind(typing.NamedTuple):
    """One kind of entry."""

    name: str
    group: Group
    # Values of `how` without the words for machines.
    variants: tuple = ("",)
    # Whether words that choose machines, and what is done to them afterwards, may stand in `how` as well.
    chooses_machines: bool = False
    # Whether words for cuts may stand in `how` as well.
    is_cut: bool = False
    # Other fields, drawn by a `Draw`.
    fields: typing.Callable = lambda draw: {}
    # How often the kind is drawn, beside the others of its group.
    weight: int = 1


# Words of `how` that choose the machine which is struck.
MACHINE_CHOICES = ("", "leader", "leader", "turn", "seed", "reader", "giver")
# What is done to a machine afterwards.
AFTERWARDS = ("", "", "", "meet", "race", "hard", "drain", "race drain", "meet drain", "meet race", "race hard")
# What a cut does to connections; without a word it is silent.
CUT_REPLIES = ("", "", "", "reset", "refuse")
# Words of `how` by which hosts are chosen.
HOST_CHOICES = ("", "", "", "across", "all")
# Kinds that strike hosts, which HOST_CHOICES may stand beside.
HOST_KINDS = ("srv_crash", "srv_slow", "srv_grey", "srv_lying_health", "srv_flap", "srv_cut")
CLOSINGS = ("power_off_all", "wipe_after_ack", "kill_all")
CLOSING_VARIANTS = ("", "", "timed", "taken", "oldest")

CONTROL_KINDS = (
    Kind("node_freeze", Group.CONTROL, chooses_machines=True, fields=lambda draw: {"on": "core", "count": 1}, weight=2),
    Kind("node_slow", Group.CONTROL, chooses_machines=True, fields=lambda draw: {"on": "core", "count": 1, "x": draw.pick(3, 6)}),
    Kind("node_kill", Group.CONTROL, ("", "", "power"), True, fields=lambda draw: {"on": "core", "count": 1}, weight=2),
    Kind(
        "core_cut", Group.CONTROL,
        ("", "", "split", "split", "behind", "all", "near", "oldest", "one_way", "seeds", "both", "both seeds", "lure", "lure", "relieve", "relieve",
         "all one_way", "lure relieve"),
        chooses_machines=True, is_cut=True, fields=lambda draw: {"count": draw.pick(1, 1, 1, 2)}, weight=5,
    ),
    Kind("herd_kill", Group.CONTROL, ("", "power", "off", "taken", "taken all"), fields=lambda draw: {"on": "core", "share": draw.share(0.9)}),
    Kind("after_ack_wipe", Group.CONTROL, ("", "oldest", "timed")),
    Kind("after_ack_kill", Group.CONTROL, ("", "kill", "timed", "taken", "taken gone"), fields=lambda draw: {"count": draw.pick(1, 1, 2)}),
    Kind("disk_slow", Group.CONTROL, ("", "leader"), fields=lambda draw: {"count": 1, "x": draw.pick(10, 30)}),
    Kind("disk_full", Group.CONTROL, ("", "leader"), fields=lambda draw: {"count": 1}),
    Kind("disk_stall", Group.CONTROL, ("", "leader"), fields=lambda draw: {"count": 1}),
    Kind("ack_lost", Group.CONTROL, fields=lambda draw: {"x": draw.pick(0.3, 0.5, 0.7)}),
    Kind("clock_step", Group.CONTROL, ("back", "ahead"), fields=lambda draw: {"x": draw.pick(700, 2000, 8000), "share": draw.share()}),
    Kind("replace_core", Group.CONTROL, ("", "planned", "oldest", "planned oldest"), fields=lambda draw: {"x": draw.pick(0.3, 1.0, 3.0)}, weight=2),
)

OTHER_KINDS = (
    Kind("srv_crash", Group.OTHER, ("", "dark", "gone", "domain", "joined", "rack"), fields=lambda draw: {"share": draw.share(0.2)}, weight=2),
    Kind("srv_slow", Group.OTHER, fields=lambda draw: {"share": draw.share(0.2), "x": 4}),
    Kind(
        "srv_grey", Group.OTHER, ("errors", "shed", "busy", "hang", "reset", "mute", "slow", "errors one_zone", "hang one_zone", "slow one_zone"),
        fields=lambda draw: {"share": draw.share(0.2), "x": 0.4},
    ),
    Kind("srv_lying_health", Group.OTHER, ("errors", "hang", "reset", "bad"), fields=lambda draw: {"share": draw.share(0.2)}),
    Kind("srv_flap", Group.OTHER, fields=lambda draw: {"share": draw.share(0.2), "gap_s": draw.pick(0.5, 1.5)}),
    Kind(
        "srv_cut", Group.OTHER, ("", "fronts", "some", "some lossy", "one_way", "reset", "some one_way"),
        fields=lambda draw: {"share": draw.share(0.2), "x": 0.3}, weight=2,
    ),
    Kind("answer_lost", Group.OTHER, fields=lambda draw: {"share": 0.5, "x": 0.05}),
    Kind("garble", Group.OTHER, ("", "extra", "extra late", "unframed", "early", "rot"), fields=lambda draw: {"share": 0.5, "x": 0.03}),
    Kind("idle_race", Group.OTHER, fields=lambda draw: {"share": 0.5, "x": draw.pick(100, 300)}),
    Kind("replace_with_reuse", Group.OTHER, ("", "drain", "dark"), fields=lambda draw: {"share": draw.share(0.2)}),
    Kind("reset_conns", Group.OTHER, fields=lambda draw: {"share": draw.share(), "x": 0.5}),
    Kind("node_cut", Group.OTHER, ("", "all", "servers"), is_cut=True, fields=lambda draw: {"share": draw.share(0.2)}),
    Kind("node_kill", Group.OTHER, ("", "power"), True, fields=lambda draw: {"share": draw.share(0.2)}),
    Kind("node_freeze", Group.OTHER, chooses_machines=True, fields=lambda draw: {"share": draw.share(0.2)}),
    Kind("node_slow", Group.OTHER, fields=lambda draw: {"share": draw.share(0.3), "x": draw.pick(3, 6)}),
    Kind("herd_kill", Group.OTHER, ("", "power"), fields=lambda draw: {"share": draw.share(0.6)}),
)

CLIENT_KINDS = (
    Kind("burst", Group.CLIENT, fields=lambda draw: {"x": draw.pick(1.3, 1.6)}),
    Kind("hot_key", Group.CLIENT, fields=lambda draw: {"share": draw.share(0.3)}, weight=2),
    Kind("hot_tenant", Group.CLIENT, fields=lambda draw: {"x": draw.pick(3.0, 6.0, 10.0), "count": draw.pick(1, 2, 8)}, weight=2),
    Kind("retry_abuse", Group.CLIENT, fields=lambda draw: {"share": draw.share(0.3), "x": 2}),
    Kind("give_up", Group.CLIENT, fields=lambda draw: {"share": draw.share(0.3), "x": 200}),
)


def _roll(draw):
    """Machines that are stopped and started in turn."""
    where = {"on": "core"} if draw.chance(0.5) else {"share": draw.share()}
    return where | {"x": draw.pick(1.0, 1.0, 2.0, 3.0), "gap_s": draw.pick(0.5, 1.0, 2.0)}


PLANNED_KINDS = (
    Kind("revoke", Group.PLANNED, ("", "last"), fields=lambda draw: {"count": draw.pick(1, 3), "gap_s": draw.pick(0.5, 1.5)}, weight=2),
    Kind("config_change", Group.PLANNED, ("route", "weights", "timeout", "tenant", "quota", "quota down", "topup", "idle")),
    Kind(
        "config_storm", Group.PLANNED,
        fields=lambda draw: {"count": draw.number(*((60, 300) if draw.long else (8, 60))), "gap_s": draw.pick(0.05, 0.1, 0.3)}, weight=2,
    ),
    Kind("config_race", Group.PLANNED, fields=lambda draw: {"count": draw.number(2, 10), "gap_s": draw.pick(0.3, 1.0)}, weight=2),
    Kind(
        "bad_config", Group.PLANNED,
        ("", "cut_short", "unknown_service", "same_place", "no_weight", "no_timeout", "old_version", "same_version", "stale_match", "shared_key"),
        fields=lambda draw: {"count": 4, "gap_s": 0.5},
    ),
    Kind("big_config", Group.PLANNED, fields=lambda draw: {"count": draw.pick(100, 400, 1500)}),
    Kind("release", Group.PLANNED, fields=lambda draw: {"share": draw.share(), "x": 1.0, "gap_s": 1.0}),
    Kind("scale_out", Group.PLANNED, fields=lambda draw: {"share": 0.3, "gap_s": 2.0}),
    Kind(
        "scale_in", Group.PLANNED, ("", "spot", "reclaim", "reclaim dry"),
        fields=lambda draw: {"share": 0.15, "x": draw.pick(1.5, 2.5), "for_s": draw.length()}, weight=2,
    ),
    Kind("roll_term", Group.PLANNED, ("", "busy", "", "leader meet", "remove", "remove busy", "reader busy", "giver meet"), fields=_roll, weight=2),
    Kind("seed_turnover", Group.PLANNED),
    Kind("hup", Group.PLANNED, fields=lambda draw: {"share": draw.share(), "gap_s": 2.0}),
    Kind("add_nodes", Group.PLANNED),
)

ALL_KINDS = CONTROL_KINDS + OTHER_KINDS + CLIENT_KINDS + PLANNED_KINDS
# Kinds that only some deployments have: they are drawn where the list of a deployment's kinds is given and names them.
RARE_KINDS = frozenset(("srv_lying_health", "srv_flap", "idle_race", "add_nodes", "hot_tenant", "revoke"))
