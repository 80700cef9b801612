"""JSON bodies of completions that are answered whole."""


def make_whole_answer(
    chunk, *, is_chat, model, text, finish_reason, usage, default_id=""
):
    """
    Return the body of a completion out of one of its chunks and its text.

    `chunk` is the JSON value of a chunk, for the id and the time of creation.
    """
    choice = {"index": 0, "finish_reason": finish_reason, "logprobs": None}
    if is_chat:
        choice["message"] = {"role": "assistant", "content": text}
    else:
        choice["text"] = text
    return {
        "id": chunk.get("id") or default_id,
        "object": "chat.completion" if is_chat else "text_completion",
        "created": chunk.get("created") or 0,
        "model": model,
        "choices": [choice],
        "usage": usage,
    }
