"""Settings of the control daemon."""

from pathlib import Path

from pydantic import Field

from chicorypost.base import Settings
from chicorypost.configuration import DistributionSettings
from chicorypost.consensus import ReplicaSettings
from chicorypost.daemons._settings import EndpointText, ProcessSettings
from chicorypost.transport import HttpSettings


class ControlListen(Settings):
    """Listener addresses of a control instance, each ``host:port``."""

    control: EndpointText
    operators: EndpointText
    admin: EndpointText


class ControlSettings(ProcessSettings):
    """Settings of ``chicorypost control``.

    Parameters
    ----------
    listen : ControlListen
        Listener addresses.
    data_folder : Path
        Folder of the replicated log, on a disk of this instance.
    replica : ReplicaSettings
        Settings of the replicated log. If `founding_members` is empty, all of `controls` bootstrap
        the cluster.
    distribution : DistributionSettings
        Settings of the distribution of configurations to the balancers.
    operator_names : tuple of str, default ("operator",)
        An operator's certificate must contain one of these names; unused while TLS is off.
    answer_seconds : float, default 5
        Timeout, in seconds, of an operator's request that waits for the log.
    """

    listen: ControlListen
    data_folder: Path
    replica: ReplicaSettings = ReplicaSettings()
    distribution: DistributionSettings = DistributionSettings()
    operators_http: HttpSettings = HttpSettings()
    operator_names: tuple[str, ...] = ("operator",)
    answer_seconds: float = Field(default=5.0, gt=0, le=60)
