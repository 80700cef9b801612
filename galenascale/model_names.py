"""Names of models in requests: NAME, NAME@VERSION, each with :ADAPTER."""

import attrs

from galenascale.errors import UserError


@attrs.frozen
class ModelChoice:
    """What a request names; an empty version leaves it to the split."""

    model: object
    version: str = ""
    adapter: str = ""


def resolve(config, name, version=None, adapter=None):
    """
    Return the ModelChoice of a name in a Configuration.

    The body fields `version` and `adapter` go before the name. Raise UserError
    (404) for what is not declared, before anything runs.
    """
    model = config.models_by_name.get(name)
    named_version = named_adapter = ""
    if model is None:
        model, named_version, named_adapter = _split(config, name)
    if model is None:
        raise _not_found(f"model {name!r} does not exist", "model")
    choice = ModelChoice(model, version or named_version, adapter or named_adapter)
    versions = {item.name for item in model.versions}
    if choice.version and choice.version not in versions:
        message = f"model {model.name!r} has no version {choice.version!r}"
        raise _not_found(message, "version" if version else "model")
    if choice.adapter and choice.adapter not in model.adapters:
        message = f"model {model.name!r} has no adapter {choice.adapter!r}"
        raise _not_found(message, "adapter" if adapter else "model")
    return choice


def _split(config, name):
    """Return the model, version and adapter that a name consists of."""
    # Names of models, versions and adapters may hold ":" themselves, so each
    # split is tried, the longest model and version first.
    fallback = (None, "", "")
    at = len(name)
    while at > 0:
        base, adapter = name[:at], name[at + 1 :]
        model_name, mark, version = base.partition("@")
        model = config.models_by_name.get(model_name)
        is_complete = (version or not mark) and (adapter or at == len(name))
        if model is not None and is_complete:
            if not version or version in {item.name for item in model.versions}:
                return model, version, adapter
            if fallback[0] is None:
                fallback = (model, version, adapter)
        at = name.rfind(":", 0, at)
    return fallback


def _not_found(message, param):
    return UserError(message, code="model_not_found", param=param, http_status=404)


def names_of(model):
    """Return the names under which a model and its adapters are listed."""
    return [model.name, *(f"{model.name}:{adapter}" for adapter in model.adapters)]
