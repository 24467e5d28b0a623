import pytest

from galenastall.proof.history import (
    HISTORY_EVENTS,
    HistoryFormatError,
    HistoryRecorder,
    JobAccepted,
    RequestSent,
    read_lines,
    write_lines,
)
from galenastall.state.ids import HostId, JobId, RequestId


class TestHistoryRecorder:
    def test_keeps_time_order_and_counts_what_no_longer_fits(self) -> None:
        recorder = HistoryRecorder(limit=2)
        recorder.extend(JobAccepted(at=at, job_id=JobId(str(at))) for at in (2.0, 1.0, 3.0))
        history = recorder.history()
        assert [event.at for event in history.events] == [1.0, 2.0]
        assert history.dropped == 1


class TestLines:
    def test_events_survive_a_round_trip(self) -> None:
        events = [
            JobAccepted(at=1.5, job_id=JobId("j")),
            RequestSent(at=2.0, request_id=RequestId("r"), entry_host=HostId("e"), key="k"),
        ]
        assert list(read_lines(write_lines(events))) == events

    def test_every_kind_has_a_name(self) -> None:
        assert len(set(HISTORY_EVENTS.names())) == len(list(HISTORY_EVENTS))

    @pytest.mark.parametrize(
        ("text", "complaint"),
        [
            (b"{", "line 2: Input data was truncated"),
            (b'{"type":"nothing","event":{}}', "line 2: unknown event 'nothing'"),
            (
                b'{"type":"job-accepted","event":{"at":"x","job_id":"j"}}',
                r"line 2: job-accepted.*at",
            ),
        ],
    )
    def test_names_the_line_at_fault(self, text: bytes, complaint: str) -> None:
        good = next(write_lines([JobAccepted(at=1.0, job_id=JobId("j"))]))
        with pytest.raises(HistoryFormatError, match=complaint):
            list(read_lines([good, text]))
