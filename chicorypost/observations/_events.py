"""Log events of shared observations."""

from chicorypost.events import Level, define_event

UPSTREAM_JUDGED = define_event(
    860,
    "upstream-judged",
    Level.WARNING,
    "The judgement of an upstream by the reports of balancers has changed.",
    "upstream",
    "judgement",
    "slowness",
    "reporters",
    "contradictions",
)
OBSERVATION_IGNORED = define_event(
    861,
    "observation-ignored",
    Level.WARNING,
    "A balancer has sent a report, or an observation in it, with an impossible field.",
    "reporter",
    "upstream",
    "field",
)
JUDGEMENT_RECEIVED = define_event(
    862,
    "judgement-received",
    Level.INFO,
    "The judgement of an upstream by the control instances has changed; new flows follow it.",
    "upstream",
    "judgement",
    "slowness",
)
