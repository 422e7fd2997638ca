"""The service state: failure domains and instances taken out of service."""

from __future__ import annotations

import dataclasses
from typing import Annotated

import pydantic
import result


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceState:
    """The failure domains, instances and upstreams that operators took out of service.

    :param domains_out: ids of the failure domains.
    :param instances_out: ids of the router instances and upstreams.
    :param revision: number that grows with each change; 0 before the first change.
    """

    domains_out: frozenset[str] = frozenset()
    instances_out: frozenset[str] = frozenset()
    revision: int = 0

    @property
    def out_of_service_ids(self):
        """Return the ids of all domains, instances and upstreams out of service."""
        return self.domains_out | self.instances_out


def is_out_of_service(instance_or_upstream_id, domain_id, out_of_service_ids):
    """Return whether an instance or upstream is out of service, or its failure domain.

    :param instance_or_upstream_id: id of the instance or upstream.
    :param domain_id: id of its failure domain.
    :param out_of_service_ids: value of `ServiceState.out_of_service_ids`.
    """
    return (
        instance_or_upstream_id in out_of_service_ids or domain_id in out_of_service_ids
    )


class _ServiceStateModel(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid", strict=True)

    domains_out: list[str]
    instances_out: list[str]
    revision: Annotated[int, pydantic.Field(ge=0)]


def parse_service_state(text):
    """Parse the store object ``service-state``.

    :param text: JSON text.
    :return: ``Ok`` with the :class:`ServiceState`, or ``Err`` with a list of error
        messages, each with the position of the invalid value.
    """
    try:
        model = _ServiceStateModel.model_validate_json(text)
    except pydantic.ValidationError as error:
        return result.Err([_format_error(detail) for detail in error.errors()])
    return result.Ok(
        ServiceState(
            frozenset(model.domains_out),
            frozenset(model.instances_out),
            model.revision,
        )
    )


def encode_service_state(state):
    """Encode the store object ``service-state``.

    :param state: the :class:`ServiceState`.
    :return: JSON text, identical for equal states.
    """
    return _ServiceStateModel(
        domains_out=sorted(state.domains_out),
        instances_out=sorted(state.instances_out),
        revision=state.revision,
    ).model_dump_json()


def _format_error(detail):
    path = ".".join(str(part) for part in detail["loc"]) or "service-state"
    return f"{path}: {detail['msg']}"
