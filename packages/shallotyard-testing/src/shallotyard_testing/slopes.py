"""Linear models of measured quantities over a size."""

import dataclasses
import gc
import time
import tracemalloc

REPEATS = 5
_MIN_MEASURED_S = 0.02


@dataclasses.dataclass(slots=True)
class Slope:
    """A quantity as a linear function of a size.

    :param unit: unit of the quantity per unit of the size.
    :param points: measured (size, quantity) pairs.
    :param intercept: quantity at size 0.
    """

    name: str
    unit: str
    points: list
    slope: float
    intercept: float

    @classmethod
    def from_points(cls, name, unit, points):
        """Return the least-squares line of (size, quantity) pairs.

        :param points: pairs with at least two sizes.
        """
        return cls(name, unit, points, *fit_line(points))

    def at(self, size):
        """Return the quantity that the line predicts for a size."""
        return self.intercept + self.slope * size


def fit_line(points):
    """Return slope and intercept of the least-squares line.

    :param points: (size, quantity) pairs with at least two sizes.
    """
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    return slope, mean_y - slope * mean_x


def fit_slopes(samples):
    """Return one slope per quantity, in order of the first sample of each.

    :param samples: iterable of ((name, unit), size, quantity) tuples.
    """
    points_by_key = {}
    for key, size, quantity in samples:
        points_by_key.setdefault(key, []).append((size, quantity))
    return [
        Slope.from_points(name, unit, points)
        for (name, unit), points in points_by_key.items()
    ]


def measure_slopes(sizes, measure):
    """Measure quantities at each size and return one slope per quantity.

    :param sizes: at least two sizes.
    :param measure: function that takes a size and returns quantities by
        (name, unit).
    """
    return fit_slopes(
        (key, size, quantity)
        for size in sizes
        for key, quantity in measure(size).items()
    )


def measure_us(function, *arguments):
    """Return the processor time of one call in microseconds.

    It is the mean of the fastest series of calls, which other processes disturb least.
    """
    best_s = float("inf")
    for _ in range(REPEATS):
        calls, start, used_s = 0, time.process_time(), 0.0
        while used_s < _MIN_MEASURED_S:
            function(*arguments)
            calls += 1
            used_s = time.process_time() - start
        best_s = min(best_s, used_s / calls)
    return best_s * 1e6


def measure_memory(build, *arguments):
    """Return the bytes of memory that the result of one call occupies."""
    gc.collect()
    tracemalloc.start()
    result = build(*arguments)
    gc.collect()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del result
    return size
