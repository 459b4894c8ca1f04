"""Two kinds of request for tests of load."""

import datetime

from buckthorntack import emulator
from buckthorntack.directives.tests import _documents

MS = datetime.timedelta(milliseconds=1)


def reviews_and_questions(reviews_per_s, packs, questions_per_s):
    """Long prompts with a large shared part, and short, more urgent ones."""
    review = _documents.route(
        "review",
        objective=863 * MS,
        pause_objective=300 * MS,
        timeout=6000 * MS,
        priority=1,
    )
    question = _documents.route(
        "question",
        objective=623 * MS,
        pause_objective=300 * MS,
        timeout=4000 * MS,
    )
    shared = ((55, 16), (37, 2000))
    return [
        emulator.Kind(
            review, reviews_per_s, ((13_300, packs),), 3_720, 0.5, 120, 0.8
        ),
        emulator.Kind(question, questions_per_s, shared, 291, 0.9, 45, 0.8),
    ]
