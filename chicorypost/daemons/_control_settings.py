"""Settings of the control daemon."""

from pathlib import Path

from pydantic import Field

from chicorypost.base import Settings
from chicorypost.configuration import DistributionSettings
from chicorypost.consensus import ReplicaSettings
from chicorypost.daemons._settings import EndpointText, ProcessSettings
from chicorypost.transport import HttpSettings


class ControlListen(Settings):
    """Listeners of a control instance, each ``host:port``."""

    control: EndpointText
    operators: EndpointText
    admin: EndpointText


class ControlSettings(ProcessSettings):
    """Settings of ``chicorypost control``.

    Parameters
    ----------
    listen : ControlListen
        Listeners.
    data_folder : Path
        Where the replicated log lives; on a disk of this instance.
    replica : ReplicaSettings
        The replicated log. Its founding members are all of `controls`, unless named.
    distribution : DistributionSettings
        How configurations reach the balancers.
    operator_names : tuple of str, default ("operator",)
        Names of which an operator's certificate must carry one; unused while TLS is off.
    answer_seconds : float, default 5
        How long an operator's request waits for the log.
    """

    listen: ControlListen
    data_folder: Path
    replica: ReplicaSettings = ReplicaSettings()
    distribution: DistributionSettings = DistributionSettings()
    operators_http: HttpSettings = HttpSettings()
    operator_names: tuple[str, ...] = ("operator",)
    answer_seconds: float = Field(default=5.0, gt=0, le=60)
