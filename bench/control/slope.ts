/**
 * Returns the slope of the least-squares line through the points; 0 for fewer
 * than two.
 */
export function computeSlope(points: readonly (readonly number[])[]): number {
  if (points.length < 2) return 0;
  const count = points.length;
  const meanX = points.reduce((sum, [x = 0]) => sum + x, 0) / count;
  const meanY = points.reduce((sum, [, y = 0]) => sum + y, 0) / count;
  let covariance = 0;
  let variance = 0;
  for (const [x = 0, y = 0] of points) {
    covariance += (x - meanX) * (y - meanY);
    variance += (x - meanX) ** 2;
  }
  return variance === 0 ? 0 : Number((covariance / variance).toPrecision(3));
}
