"""Model engines and deployments in virtual time, to try placement under load.

Nothing here is part of a node.
"""

from buckthorntack.emulator._deployment import Deployment
from buckthorntack.emulator._deployment import Region
from buckthorntack.emulator._deployment import Result
from buckthorntack.emulator._engine import Engine
from buckthorntack.emulator._engine import EngineFigures
from buckthorntack.emulator._engine import Run
from buckthorntack.emulator._traffic import Kind
from buckthorntack.emulator._traffic import Traffic

__all__ = [
    "Deployment",
    "Engine",
    "EngineFigures",
    "Kind",
    "Region",
    "Result",
    "Run",
    "Traffic",
]
