import unittest

from fuchsiahatch_experts.terms import (
    Candidate,
    Follow,
    Lead,
    ReadTerm,
    SwapTerm,
    TermRecord,
)

SILENCE_MS = 2_000
REMOTE_RECORD = TermRecord(4, 2, 1, "life-b")
LOCAL_RECORD = TermRecord(5, 2, 0, "life-a")


class CampaignCase(unittest.TestCase):
    def setUp(self):
        self.candidate = Candidate(0, "life-a", SILENCE_MS, now_ms=0)

    def start(self):
        return self.candidate.tick(SILENCE_MS)

    def swap(self):
        self.start()
        return self.candidate.record_read(REMOTE_RECORD, 17, 2_050)


class TestWinning(CampaignCase):
    def test_a_leader_that_sends_requests_is_followed(self):
        self.candidate.note_leader_contact(1_500)
        self.assertEqual(self.candidate.tick(3_000), [])

    def test_silence_starts_a_campaign(self):
        self.assertEqual(self.start(), [Follow(), ReadTerm()])
        self.assertEqual(
            self.candidate.record_read(REMOTE_RECORD, 17, 2_050),
            [SwapTerm(LOCAL_RECORD, 17)],
        )
        self.assertEqual(self.candidate.swap_answered(True, 2_100), [Lead(5, 2, False)])

    def test_the_first_term_begins_an_epoch(self):
        self.start()
        expected_record = TermRecord(1, 1, 0, "life-a")
        swap = self.candidate.record_read(TermRecord(), 0, 2_050)
        self.assertEqual(swap, [SwapTerm(expected_record, 0)])
        self.assertEqual(self.candidate.swap_answered(True, 2_100), [Lead(1, 1, True)])

    def test_a_lost_race_waits_for_another_silence(self):
        self.swap()
        self.assertEqual(self.candidate.swap_answered(False, 2_100), [Follow()])
        self.assertEqual(self.candidate.tick(4_000), [])
        self.assertEqual(self.candidate.tick(4_100), [Follow(), ReadTerm()])


class TestLeading(CampaignCase):
    def setUp(self):
        super().setUp()
        self.swap()
        self.candidate.swap_answered(True, 2_100)

    def test_a_new_epoch_raises_term_and_epoch(self):
        self.assertEqual(self.candidate.take_term(True, 3_000), [Follow(), ReadTerm()])
        expected_record = TermRecord(6, 3, 0, "life-a")
        self.assertEqual(
            self.candidate.record_read(LOCAL_RECORD, 18, 2_100),
            [SwapTerm(expected_record, 18)],
        )
        self.assertEqual(self.candidate.swap_answered(True, 3_100), [Lead(6, 3, True)])

    def test_stepping_down_waits_for_a_silence(self):
        self.assertEqual(self.candidate.step_down(3_000), [Follow()])
        self.assertEqual(self.candidate.tick(4_000), [])
        self.assertEqual(self.candidate.step_down(4_500), [])


class TestService(CampaignCase):
    def test_a_lost_answer_is_settled_by_reading_back(self):
        """Steps stop for seconds after a leader was lost.

        The next agent's swap succeeds but its answer is lost. If the agent gave up, the
        record would name a leader that does not lead, and every rank would wait for
        another silence.
        """
        self.swap()
        self.assertEqual(self.candidate.swap_lost(), [ReadTerm()])
        self.assertEqual(
            self.candidate.record_read(LOCAL_RECORD, 18, 2_100), [Lead(5, 2, False)]
        )

    def test_a_lost_answer_of_a_lost_race(self):
        self.swap()
        self.candidate.swap_lost()
        winner = TermRecord(5, 2, 2, "life-c")
        self.assertEqual(self.candidate.record_read(winner, 18, 2_100), [Follow()])

    def test_a_campaign_is_retried_a_silence_after_an_outage(self):
        self.start()
        self.assertEqual(self.candidate.step_down(2_050), [Follow()])
        self.assertEqual(self.candidate.tick(3_000), [])
        self.assertEqual(self.candidate.tick(4_050), [Follow(), ReadTerm()])

    def test_a_service_that_lost_its_writes_does_not_lower_the_term(self):
        """Steps stop for minutes after the service was restored from a backup.

        The record holds term 4, but the ranks have promised term 90 and refuse every
        term below it.
        """
        self.swap()
        self.candidate.swap_answered(True, 2_100)
        self.candidate.step_down(2_200, highest_term=90)
        self.candidate.tick(4_200)
        (swap,) = self.candidate.record_read(REMOTE_RECORD, 17, 4_250)
        self.assertEqual(swap.record.term, 91)

    def test_a_campaign_does_not_start_twice(self):
        self.start()
        self.assertEqual(self.candidate.tick(9_000), [])
        self.assertEqual(self.candidate.take_term(False, 9_000), [])
