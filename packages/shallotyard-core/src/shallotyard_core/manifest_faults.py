"""Faults of a manifest, formatted for operators."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class ManifestFault:
    """An invalid value in a manifest, or an error in its syntax.

    :param path: position, such as ``services.orders.slots`` or ``line 3 column 9``.
    :param expected: description of the valid values.
    :param found: the value or a description of it.
    """

    path: str
    expected: str
    found: str

    def __str__(self):
        return f"{self.path}: expected {self.expected}, found {self.found}"


def convert_pydantic_error(error):
    """Convert an error of pydantic to a fault.

    :param error: one entry of ``pydantic.ValidationError.errors()``.
    :return: the :class:`ManifestFault`.
    """
    path = ".".join(str(part) for part in error["loc"]) or "manifest"
    if error["type"] == "extra_forbidden":
        return ManifestFault(path, "no such field", repr(error["loc"][-1]))
    if error["type"] == "missing":
        return ManifestFault(path, "a value", "nothing")
    if error["type"] in ("model_type", "dict_type"):
        expected = "an object"
    else:
        expected = error["msg"]
    for prefix in ("Input should be ", "Value error, ", "String should "):
        expected = expected.removeprefix(prefix)
    return ManifestFault(path, expected, _format_input(error))


def _format_input(error):
    # The value may be the credential itself instead of its digest.
    if "credential_sha256" in error["loc"]:
        return "another value"
    text = repr(error["input"])
    return text if len(text) <= 80 else text[:77] + "..."
