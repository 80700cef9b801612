"""
Statuses that promise that a request has not run and never will.

Guards callers against such a status from a server that does not state it: a
caller that believes it sends a request again that may run once at most.
"""

import attrs
import pytest

from galenascale.errors import Execution
from galenascale.gateway.attempts import RequestFailed
from galenascale.gateway.execution import NOT_RUN_STATUSES, caller_status, is_failure
from galenascale.gateway.requests import ResponseHead
from galenascale.standins.runner import RunnerStandin
from test.gateway.fleet import gateway_fleet, until

# A server that has another address answers 421 and does not run the request.
UNMARKED_STATUSES = sorted(NOT_RUN_STATUSES - {421})
LONG_BODY = b"x" * 300_000


@pytest.mark.parametrize("status", UNMARKED_STATUSES)
@pytest.mark.parametrize("body", [b"", LONG_BODY], ids=["no body", "long body"])
@pytest.mark.parametrize("path", ["/once/a", "/talk/a", "/plain/a", "/chat/a"])
async def test_status_of_a_server_that_ran_the_request_promises_nothing(
    path, body, status
):
    """The request ran, and its last attempt is used up."""
    async with gateway_fleet(runners=2) as fleet:
        for runner in fleet.runners:
            runner.behaviour.status = status
            runner.behaviour.body = body
        for number in range(3):
            reply = await fleet.request(path, request_id=f"r{number}", data=b"x")
            assert any(
                request.request_id == f"r{number}"
                for runner in fleet.runners
                for request in runner.requests
            )
            assert reply.status == 502
            assert b'"may_have_run"' in reply.body
            assert "X-Galenascale-Response-Signature" not in reply.headers


@pytest.mark.parametrize("status", UNMARKED_STATUSES)
@pytest.mark.parametrize("path", ["/plain/a", "/chat/a"])
async def test_repeatable_request_goes_to_another_server(path, status):
    """The status of one server must not end a request that may run twice."""
    service = "llm" if path == "/chat/a" else "app"
    async with gateway_fleet(runners=2) as fleet:
        fleet.runners_of(service)[0].behaviour.status = status
        for number in range(6):
            reply = await fleet.request(path, request_id=f"r{number}", data=b"x")
            assert (reply.status, reply.complete) == (200, True)


class LateRefusal(RunnerStandin):
    """Refuses each request by a head whose body is cut off or never comes."""

    ends = True
    status = 503

    async def _answer(self, request, reader, writer):
        writer.write(
            b"HTTP/1.1 %d Refused\r\nX-Galenascale-Attempt-Id: %b\r\n"
            b"X-Galenascale-Not-Executed: 1\r\nContent-Length: 40\r\n\r\nfull"
            % (self.status, request.request_id.encode())
        )
        if not self.ends:
            await reader.read()
        return False


@pytest.mark.parametrize("status", [400, 408, 421, 429, 500, 503])
@pytest.mark.parametrize("ends", [True, False], ids=["cut off", "silent"])
@pytest.mark.parametrize("path", ["/once/a", "/talk/a", "/plain/a"])
async def test_stated_refusal_is_passed_on_as_one_at_once(path, ends, status):
    """What has not run says so, whatever becomes of the refusal's body."""
    service = "llm" if path == "/talk/a" else "app"
    async with gateway_fleet(runners=0) as fleet:
        runner = LateRefusal("late", service)
        runner.ends = ends
        runner.status = status
        await runner.start()
        fleet.runners.append(runner)
        fleet.register(runner)
        context = fleet.hosts[0].context
        await until(lambda: context.servers.usable(service, 0.0))
        started_at = context.clock.monotonic()
        reply = await fleet.request(path, data=b"x")
        assert reply.status == 503
        assert b'"not_run"' in reply.body
        # The objective of the route, beyond which it is not tried again.
        assert context.clock.monotonic() - started_at < 1.0


@pytest.mark.parametrize("status", [200, 404, *sorted(NOT_RUN_STATUSES), 500, 502])
@pytest.mark.parametrize("execution", Execution)
def test_own_error_promises_only_what_is_known(status, execution):
    """Whatever status an error has, it promises nothing for a run."""
    error = RequestFailed("", http_status=status, execution=execution, code="c")
    sent = caller_status(error)
    if execution is Execution.NOT_RUN or status not in NOT_RUN_STATUSES:
        assert sent == status
    else:
        assert sent == 502


@pytest.mark.parametrize("status", sorted(NOT_RUN_STATUSES))
def test_server_that_promises_without_stating_it_has_failed(status):
    """Such a server is avoided like one that answers with an error."""
    head = ResponseHead(status, (), request_id="r1")
    assert is_failure(head)
    assert is_failure(attrs.evolve(head, not_run=True)) is (status >= 500)
