"""Files, batches and plain services through the public API on loopback."""

import json
import uuid

import aiohttp
import openai
import pytest
import pytest_asyncio

from galenascale.deployments import EXAMPLES
from galenascale.embedded import EmbeddedDeployment

pytestmark = pytest.mark.asyncio(loop_scope="module")

OTHER_KEY = "mutara-quotes-example-key"
JOB = {"endpoint": "/v1/chat/completions", "completion_window": "24h"}


def line(custom_id="a", model="assist", **changes):
    """Return one line of a batch file."""
    body = {
        "model": model,
        "max_tokens": 2,
        "messages": [{"role": "user", "content": "hello"}],
    }
    value = {"custom_id": custom_id, "method": "POST", "url": JOB["endpoint"]}
    return json.dumps({**value, "body": body, **changes})


@pytest_asyncio.fixture(scope="module", loop_scope="module")
async def deployment():
    """Yield a running example deployment."""
    async with EmbeddedDeployment.from_directory(EXAMPLES / "mutara") as embedded:
        yield embedded.summary()


def client_of(deployment, host=0, key=None):
    """Return an unmodified openai client of one entry host."""
    return openai.AsyncOpenAI(
        base_url=f"{deployment.entry_hosts[host].url}/v1",
        api_key=key or deployment.caller_key,
        max_retries=0,
    )


async def upload(client, *lines):
    """Return the file object of an uploaded batch file."""
    content = "\n".join(lines).encode()
    return await client.files.create(file=("items.jsonl", content), purpose="batch")


@pytest.mark.parametrize(
    ("lines", "message"),
    [
        (["{"], "line 1: is not valid JSON"),
        ([line(), "", line()], "line 3: custom_id 'a' repeats that of line 1"),
        ([line(method="GET")], "line 1: method must be POST"),
        ([line(url="/v1/embeddings")], "line 1: url '/v1/embeddings'"),
        ([line(body=[])], "line 1: body must be a JSON object"),
        ([line(model=3)], "line 1: body.model must be a string"),
        ([line(custom_id=7)], "line 1: custom_id must be a non-empty string"),
        ([""], "file has no lines"),
    ],
)
async def test_bad_batch_file_is_refused_with_its_line(deployment, lines, message):
    """Guards P5: a bad line is named and nothing is stored."""
    client = client_of(deployment)
    before = len((await client.files.list()).data)
    with pytest.raises(openai.BadRequestError) as caught:
        await upload(client, *lines)
    assert message in caught.value.body["message"]
    assert caught.value.body["execution"] == "not_run"
    assert len((await client.files.list()).data) == before


@pytest.mark.parametrize(
    ("changes", "status", "param"),
    [
        ({"input_file_id": "file_0_unknown"}, 404, None),
        ({"input_file_id": "nonsense"}, 404, None),
        ({"endpoint": "/v1/completions"}, 400, "endpoint"),
        ({"completion_window": "soon"}, 400, "completion_window"),
        ({"completion_window": 24}, 400, "completion_window"),
        ({"metadata": {"a": 1}}, 400, "metadata"),
    ],
)
async def test_bad_job_is_refused_with_its_field(deployment, changes, status, param):
    """Guards against jobs that no host could run."""
    client = client_of(deployment)
    file = await upload(client, line())
    with pytest.raises(openai.APIStatusError) as caught:
        await client.batches.create(**{"input_file_id": file.id, **JOB, **changes})
    assert caught.value.status_code == status
    assert caught.value.body["param"] == param
    assert caught.value.body["execution"] == "not_run"


async def test_resubmitted_job_is_the_same_job(deployment):
    """Guards against doubled jobs when a caller resends to another host."""
    jobs = []
    key = {"Idempotency-Key": uuid.uuid4().hex}
    for host in (0, 4, 8):
        client = client_of(deployment, host)
        file = await upload(client, line())
        jobs.append(
            await client.batches.create(input_file_id=file.id, extra_headers=key, **JOB)
        )
    assert len({job.id for job in jobs}) == 1
    other = await upload(client, line("other"))
    with pytest.raises(openai.ConflictError) as caught:
        await client.batches.create(input_file_id=other.id, extra_headers=key, **JOB)
    assert caught.value.code == "idempotency_conflict"


async def test_tenants_do_not_see_each_other(deployment):
    """Guards the separation of tenants for files, jobs and results."""
    client, other = client_of(deployment), client_of(deployment, 3, OTHER_KEY)
    file = await upload(client, line())
    job = await client.batches.create(input_file_id=file.id, **JOB)
    assert [item.id for item in (await client.batches.list()).data][0] == job.id
    assert (await other.batches.list()).data == []
    for call in (
        other.files.retrieve(file.id),
        other.files.content(file.id),
        other.files.delete(file.id),
        other.batches.retrieve(job.id),
        other.batches.cancel(job.id),
        other.files.content(f"output-{job.id}"),
        other.batches.create(input_file_id=file.id, **JOB),
    ):
        with pytest.raises(openai.NotFoundError):
            await call
    content = await client.files.content(file.id)
    assert content.text == line() + "\n"
    await client.files.delete(file.id)
    with pytest.raises(openai.NotFoundError):
        await client.files.retrieve(file.id)


async def test_cancelled_job_stops_with_one_line_an_item(deployment):
    """Guards P2: a cancelled job ends and names each item once."""
    client = client_of(deployment)
    lines = [
        line(f"i{n}", body=json.loads(line())["body"] | {"max_tokens": 2000})
        for n in range(60)
    ]
    file = await upload(client, *lines)
    job = await client.batches.create(input_file_id=file.id, **JOB)
    job = await client_of(deployment, 5).batches.cancel(job.id)
    assert job.status == "cancelled"
    job = await client_of(deployment, 7).batches.retrieve(job.id)
    assert job.request_counts.total == 60
    errors = await client.files.content(job.error_file_id)
    ids = [json.loads(row)["custom_id"] for row in errors.text.splitlines()]
    assert sorted(ids) == sorted(f"i{n}" for n in range(60))


async def test_non_idempotent_call_runs_once_over_hosts(deployment):
    """Guards P6: a call sent to every host under one key runs once."""
    headers = {
        "Authorization": f"Bearer {deployment.caller_key}",
        "Idempotency-Key": uuid.uuid4().hex,
    }
    answers = []
    async with aiohttp.ClientSession(headers=headers) as session:
        for host in deployment.entry_hosts:
            url = f"{host.url}/services/booking-app/invoices"
            async with session.post(url, json={"crew": 1}) as response:
                answers.append((response.status, await response.text()))
        url = f"{deployment.entry_hosts[0].url}/services/booking-app/invoices"
        async with session.post(url, json={"crew": 2}) as response:
            assert response.status == 409
            error = (await response.json())["error"]
    assert len(set(answers)) == 1 and answers[0][0] < 300
    assert (error["code"], error["execution"]) == ("idempotency_conflict", "not_run")
