"""Background tasks of a host: restart after failures, end with the process."""

import asyncio
import traceback

# Seconds after which a failed task is restarted.
RESTART_DELAY_S = 0.5
# Attempts to cancel the tasks at the end of the process, and the timeout of
# each in seconds.
MAX_CANCEL_ATTEMPTS = 4
CANCEL_TIMEOUT_S = 0.5


class BackgroundTasks:
    """Runs the periodic work of a host until it is cancelled."""

    def __init__(self, log):
        self._log = log
        # Tasks, also those that have ended.
        self.tasks = set()

    def spawn(self, name, run):
        """Run a coroutine function until cancelled; restart it if it fails."""
        loop = asyncio.get_running_loop()
        self.tasks.add(loop.create_task(self._supervise(name, run), name=name))

    async def _supervise(self, name, run):
        while True:
            try:
                await run()
            except Exception as error:
                self._log.write(
                    "task_failed",
                    "error",
                    task=name,
                    reason=repr(error),
                    traceback=traceback.format_exc(),
                )
            await asyncio.sleep(RESTART_DELAY_S)

    async def cancel(self):
        """
        Cancel all tasks, repeatedly if a task does not end.

        A cancellation can be lost if a timeout inside a call expires at the
        same time. The process has to end nevertheless.
        """
        pending = self.tasks
        for _ in range(MAX_CANCEL_ATTEMPTS):
            for task in pending:
                task.cancel()
            if pending:
                _, pending = await asyncio.wait(pending, timeout=CANCEL_TIMEOUT_S)
        for task in pending:
            self._log.write("task_not_ended", "error", task=task.get_name())
