"""What callers may send as a job: refused with the field's name, or stored, restored and run."""

import pytest

from galenastall.platform.submissions import WireJob
from galenastall.state.errors import Reason
from galenastall.transport.http_json import decode_json


class TestDecodedBodies:
    @pytest.mark.parametrize(
        "body",
        [
            pytest.param(b"[" * 100_000, id="a list of 100,000 levels"),
            pytest.param(b'{"steps":' + b"[" * 100_000, id="steps of 100,000 levels"),
            pytest.param(b'{"x":' + b"[" * 100_000, id="an unknown field of 100,000 levels"),
            pytest.param(
                b'{"steps":[{"count":1,"targetMs":100000000000000000000,"x":' + b"[" * 100_000,
                id="a number above 64 bits before deep nesting",
            ),
            pytest.param(b'{"repetitions":1e400}', id="a float above the largest"),
            pytest.param(b'{"steps":' + b"9" * 4_400 + b"}", id="a number of 4,400 digits"),
            pytest.param(b'{"steps":1' + b"0" * 20 + b"}", id="a number above 64 bits"),
        ],
    )
    def test_numbers_and_levels_that_the_decoder_can_not_take(self, body: bytes) -> None:
        decoded = decode_json(body, WireJob, step="s", peer="p")
        assert decoded.failure().reason is Reason.INVALID
        assert len(decoded.failure().detail) < 400
