"""Parser and encoder of the manifest that operators publish."""

import jsonc
import pydantic
import result

from shallotyard_core import deployment
from shallotyard_core.manifest_decoder import decode_jsonc
from shallotyard_core.manifest_faults import convert_pydantic_error
from shallotyard_core.manifest_references import check_references
from shallotyard_core.manifest_schema import Manifest


def parse_manifest(text):
    """Parse and check a manifest.

    :param text: JSON with comments, as ``str`` or as ``bytes`` in UTF-8.
    :return: ``Ok`` with the :class:`deployment.Deployment`, or ``Err`` with the list
        of all faults, each a :class:`ManifestFault`.
    """
    decoded = decode_jsonc(text)
    if decoded.is_err():
        return decoded
    raw, faults = decoded.ok_value
    manifest = None
    try:
        manifest = Manifest.model_validate(raw)
    except pydantic.ValidationError as error:
        faults += [convert_pydantic_error(detail) for detail in error.errors()]
    faults += check_references(raw)
    if faults:
        return result.Err(faults)
    return result.Ok(deployment.Deployment.from_manifest(manifest))


def encode_manifest(text, writer):
    """Encode a valid manifest as the store object that instances read.

    :param text: JSON with comments that :func:`parse_manifest` accepts.
    :param writer: nonce of this write.
    :return: JSON text without comments.
    :raises pydantic.ValidationError: if the manifest does not match the schema.
    """
    manifest = Manifest.model_validate(jsonc.loads(text))
    return manifest.model_copy(update={"writer": writer}).model_dump_json()


def read_writer_nonce(text):
    """Return the nonce of the write that stored a manifest.

    :param text: content of the store object.
    :return: the nonce, or ``None`` if the object is invalid or has none.
    """
    decoded = decode_jsonc(text)
    if decoded.is_err():
        return None
    raw, _ = decoded.ok_value
    writer = raw.get("writer") if isinstance(raw, dict) else None
    return writer if isinstance(writer, str) else None
