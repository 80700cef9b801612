"""Recording of unfinished output, for the host that takes the jobs over."""


async def record_all(recorder, items):
    """
    Write pending outcomes and the output of unfinished items.

    Raise the errors of the store.
    """
    await recorder.flush()
    items_by_job = {}
    for item in items:
        if not item.finished:
            items_by_job.setdefault(item.state.job_id, []).append(item)
    for job_id, unfinished in items_by_job.items():
        await recorder.record_progress(job_id, unfinished)
