"""Output of unfinished items in the store, for the host that goes on."""


async def record_all(recorder, items):
    """Record outcomes and the output of items; raise as the store does."""
    await recorder.flush()
    items_by_job = {}
    for item in items:
        if not item.finished:
            items_by_job.setdefault(item.state.job_id, []).append(item)
    for job_id, unfinished in items_by_job.items():
        await recorder.record_progress(job_id, unfinished)
