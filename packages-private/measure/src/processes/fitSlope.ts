/** One measured point: a size and what it cost. */
export interface Point {
  readonly size: number;
  readonly value: number;
}

/** A straight line through measured points, with how well it fits. */
export interface Slope {
  readonly perUnit: number;
  readonly atZero: number;
  /** Share of the variance that the line explains, 0 to 1. */
  readonly fit: number;
}

/** Least squares over at least two sizes. */
export function fitSlope(points: readonly Point[]): Slope {
  const n = points.length;
  const meanSize = points.reduce((sum, {size}) => sum + size, 0) / n;
  const meanValue = points.reduce((sum, {value}) => sum + value, 0) / n;
  let covariance = 0;
  let variance = 0;
  let total = 0;
  for (const {size, value} of points) {
    covariance += (size - meanSize) * (value - meanValue);
    variance += (size - meanSize) ** 2;
    total += (value - meanValue) ** 2;
  }
  const perUnit = covariance / variance;
  const fit = total === 0 ? 1 : covariance ** 2 / (variance * total);
  return {perUnit, atZero: meanValue - perUnit * meanSize, fit};
}
