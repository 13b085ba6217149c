package amberhoist.lab.slope;

import java.util.List;
import org.apache.commons.math3.stat.regression.SimpleRegression;

/**
 * A straight line through measured points, by least squares.
 *
 * @param intercept value at size 0
 * @param slope value for each unit of size
 * @param halfWidth half of the slope's interval of 95 %, if the points scatter about a line by chance
 * @param explained part of the variance that the line explains, from 0 to 1
 */
public record Fit(double intercept, double slope, double halfWidth, double explained) {
  /** A measured value at a size. */
  public record Point(double size, double value) {}

  /** The line through at least three points. */
  public static Fit through(List<Point> points) {
    if (points.size() < 3) {
      throw new IllegalArgumentException("a fit needs three points at least, not " + points.size());
    }
    SimpleRegression regression = new SimpleRegression();
    points.forEach(point -> regression.addData(point.size(), point.value()));
    return new Fit(regression.getIntercept(), regression.getSlope(), regression.getSlopeConfidenceInterval(),
        regression.getRSquare());
  }

  /** The value at this size by the line. */
  public double at(double size) {
    return intercept + slope * size;
  }
}
