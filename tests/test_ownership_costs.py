from galenastall.proof.ownership_costs import idle_traffic, kill, records_of_kill, takeover_s


class TestOwnershipCosts:
    def test_heartbeats_do_not_grow_with_ownables(self) -> None:
        few, many = idle_traffic(3, 4), idle_traffic(3, 40)
        assert many.frame_bytes < 1.1 * few.frame_bytes

    def test_a_dead_owner_costs_one_claim_and_one_activation(self) -> None:
        records = records_of_kill(3, 12)
        assert (records["Claim"], records["Activate"], records["Leave"]) == (1, 1, 1)

    def test_takeover_lasts_longer_than_both_confirmations_of_the_dead_owner(self) -> None:
        assert takeover_s(3, 1, fault=kill) > 5
