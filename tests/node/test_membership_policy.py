"""Policy for changes of the members of the group."""

from __future__ import annotations

import pytest

from hyssopway.agreement import AddLearner, Configuration, PromoteLearner, RemoveMember
from hyssopway.node.membership_policy import (
    REMOVE_LEARNER_AFTER_SILENCE_S,
    REPLACE_AFTER_SILENCE_S,
    MemberStatus,
    choose_membership_change,
)

ACTIVE = MemberStatus(silent_s=0.1, lag=0)
SILENT = MemberStatus(silent_s=REPLACE_AFTER_SILENCE_S + 1, lag=50)
GONE = MemberStatus(silent_s=REMOVE_LEARNER_AFTER_SILENCE_S + 1, lag=50)


@pytest.mark.parametrize(
    ("voters", "learners", "joiners", "views", "expected"),
    [
        pytest.param("abc", "", [], {"b/0": ACTIVE, "c/0": ACTIVE}, None, id="as wanted"),
        pytest.param(
            "abc", "", ["c/1"], {}, RemoveMember(member_id="c/0"), id="disk of a voter is known to be lost"
        ),
        pytest.param("ab", "", ["c/1"], {}, AddLearner(member_id="c/1"), id="empty member joins"),
        pytest.param(
            "ab",
            "d",
            [],
            {"b/0": ACTIVE, "d/0": ACTIVE},
            PromoteLearner(member_id="d/0"),
            id="too few voters",
        ),
        pytest.param(
            "ab",
            "d",
            [],
            {"b/0": ACTIVE, "d/0": MemberStatus(silent_s=0.1, lag=500)},
            None,
            id="learner lags",
        ),
        pytest.param(
            "abc",
            "d",
            [],
            {"b/0": ACTIVE, "c/0": SILENT, "d/0": ACTIVE},
            PromoteLearner(member_id="d/0"),
            id="voter is silent and a learner can take its place",
        ),
        pytest.param(
            "abcd",
            "",
            [],
            {"b/0": ACTIVE, "c/0": SILENT, "d/0": ACTIVE},
            RemoveMember(member_id="c/0"),
            id="silent voter after its place was taken",
        ),
        pytest.param(
            "abc", "", [], {"b/0": ACTIVE, "c/0": SILENT}, None, id="silent voter without a replacement stays"
        ),
        pytest.param(
            "abc",
            "d",
            [],
            {"b/0": ACTIVE, "c/0": ACTIVE, "d/0": GONE},
            RemoveMember(member_id="d/0"),
            id="learner is gone",
        ),
    ],
)
def test_choose_membership_change(voters, learners, joiners, views, expected):
    """Guards against a group that tolerates fewer losses than configured for longer than necessary."""
    configuration = Configuration(
        voters=tuple(f"{name}/0" for name in voters), learners=tuple(f"{name}/0" for name in learners)
    )
    change = choose_membership_change(
        configuration=configuration, joiners=joiners, views=views, wanted_voters=3, max_lag=100
    )
    assert change == expected
