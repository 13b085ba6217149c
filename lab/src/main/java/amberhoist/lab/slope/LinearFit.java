package amberhoist.lab.slope;

import java.util.List;
import org.apache.commons.math3.stat.regression.SimpleRegression;

/**
 * A straight line fitted to measured points by least squares.
 *
 * @param intercept value at size 0
 * @param slope value for each unit of size
 * @param slopeHalfWidth half the width of the slope's 95 % confidence interval, for normally distributed residuals
 * @param rSquared coefficient of determination, from 0 to 1
 */
public record LinearFit(double intercept, double slope, double slopeHalfWidth, double rSquared) {
  /** A measured value at a size. */
  public record Point(double size, double value) {}

  /** Fits a line to at least three points. */
  public static LinearFit leastSquares(List<Point> points) {
    if (points.size() < 3) {
      throw new IllegalArgumentException("a fit needs at least three points, but there are " + points.size());
    }
    SimpleRegression regression = new SimpleRegression();
    points.forEach(point -> regression.addData(point.size(), point.value()));
    return new LinearFit(regression.getIntercept(), regression.getSlope(), regression.getSlopeConfidenceInterval(),
        regression.getRSquare());
  }

  /** The value of the line at this size. */
  public double valueAt(double size) {
    return intercept + slope * size;
  }
}
