"""Faults of a manifest, as operators read them."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class ManifestFault:
    """One fault of a manifest.

    :param path: position, such as ``services.orders.slots`` or ``line 3 column 9``.
    :param expected: what the position must hold.
    :param found: what it holds.
    """

    path: str
    expected: str
    found: str

    def __str__(self):
        return f"{self.path}: expected {self.expected}, found {self.found}"


def fault_from_pydantic(detail):
    """Return the fault that pydantic found.

    :param detail: one entry of ``pydantic.ValidationError.errors()``.
    """
    path = ".".join(str(part) for part in detail["loc"]) or "manifest"
    if detail["type"] == "extra_forbidden":
        return ManifestFault(path, "no such field", repr(detail["loc"][-1]))
    if detail["type"] == "missing":
        return ManifestFault(path, "a value", "nothing")
    if detail["type"] in ("model_type", "dict_type"):
        expected = "an object"
    else:
        expected = detail["msg"]
    for prefix in ("Input should be ", "Value error, ", "String should "):
        expected = expected.removeprefix(prefix)
    return ManifestFault(path, expected, _describe_input(detail))


def _describe_input(detail):
    # An operator may have put the credential itself in the place of its digest.
    if "credential_sha256" in detail["loc"]:
        return "another value"
    found = repr(detail["input"])
    return found if len(found) <= 80 else found[:77] + "..."
