/** A measured point: a size and its cost. */
export interface Point {
  readonly size: number;
  readonly value: number;
}

/** A line fitted to measured points. */
export interface Slope {
  readonly perUnit: number;
  readonly atZero: number;
  /** Coefficient of determination (R²), 0 to 1. */
  readonly fit: number;
}

/** Fits a line by least squares. Needs points of at least two sizes. */
export function fitSlope(points: readonly Point[]): Slope {
  const n = points.length;
  const meanSize = points.reduce((sum, {size}) => sum + size, 0) / n;
  const meanValue = points.reduce((sum, {value}) => sum + value, 0) / n;
  let covariance = 0;
  let sizeVariance = 0;
  let valueVariance = 0;
  for (const {size, value} of points) {
    covariance += (size - meanSize) * (value - meanValue);
    sizeVariance += (size - meanSize) ** 2;
    valueVariance += (value - meanValue) ** 2;
  }
  const perUnit = covariance / sizeVariance;
  const fit =
    valueVariance === 0 ? 1 : covariance ** 2 / (sizeVariance * valueVariance);
  return {perUnit, atZero: meanValue - perUnit * meanSize, fit};
}
