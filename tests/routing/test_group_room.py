import unittest

from fuchsiahatch_routing.group_room import GroupLoad, RoomFigures, free_room
from fuchsiahatch_routing.pass_model import PassModel

MODEL = PassModel(fixed_ms=5 * 4.55, per_request_ms=5 * 2.18, expert_share=0.85)
FIGURES = RoomFigures(MODEL, slots=5, objective_ms=150)


class TestRoomFigures(unittest.TestCase):
    def test_passes_with_full_room_meet_the_objective(self):
        # At an imbalance of 2.5 five requests on each rank make passes of 147 ms; with
        # prompts to be read they exceed 150 ms, and all 160 streams are late.
        rooms = {1.2: 5.0, 1.7: 5.0, 2.5: 4.53}
        for imbalance, room in rooms.items():
            self.assertAlmostEqual(FIGURES.room_per_rank(imbalance), room, places=2)
            self.assertLessEqual(MODEL.expected_ms(room, imbalance), 0.9 * 150 + 0.1)

    def test_the_room_is_at_least_half_of_the_slots(self):
        self.assertEqual(FIGURES.room_per_rank(9.0), 2.5)
        strict = RoomFigures(MODEL, slots=5, objective_ms=20)
        self.assertEqual(strict.room_per_rank(1.0), 2.5)

    def test_the_room_is_no_more_than_the_slots(self):
        lenient = RoomFigures(MODEL, slots=5, objective_ms=2_000)
        self.assertEqual(lenient.room_per_rank(2.5), 5.0)


class TestFreeRoom(unittest.TestCase):
    def test_the_load_of_all_ranks_is_compared_with_the_room_of_all(self):
        load = GroupLoad(ranks=32, requests=140)
        self.assertAlmostEqual(free_room(load, 4.5, 1.0), 4.0)
        self.assertLess(free_room(load, 4.5, 0.92), 0.0)

    def test_room_is_reserved_in_the_slots_that_get_new_requests(self):
        # 11 of 32 ranks are in a drained zone. A load of 105 would never reach 0.85 of
        # the room, which is 136.
        load = GroupLoad(ranks=32, requests=100, capacity=105)
        self.assertAlmostEqual(free_room(load, 5.0, 1.0), 5.0)
        self.assertLess(free_room(load, 5.0, 0.85), 0.0)

    def test_a_less_urgent_request_is_served_by_an_idle_group_of_one_slot(self):
        self.assertEqual(free_room(GroupLoad(ranks=1), 1.0, 0.85), 1.0)
        self.assertEqual(free_room(GroupLoad(ranks=1, requests=1), 1.0, 0.85), 0.0)

    def test_a_group_of_mostly_silent_ranks_is_not_judged(self):
        self.assertTrue(GroupLoad(ranks=3, silent=2).is_known)
        self.assertFalse(GroupLoad(ranks=2, silent=2).is_known)

    def test_the_pass_time_is_the_mean_of_those_stated(self):
        self.assertEqual(GroupLoad(ranks=3, measured=2, passes_ms=180.0).pass_ms, 90.0)
        self.assertEqual(GroupLoad(ranks=3).pass_ms, 0.0)


if __name__ == "__main__":
    unittest.main()
