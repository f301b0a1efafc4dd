package org.cornelchute.policy.weights;

/**
 * Consecutive layers of a model.
 *
 * @param from first layer
 * @param to layer after the last one
 */
public record LayerRange(int from, int to) {

  /** All layers of a model, however many it has. */
  public static final LayerRange ALL = new LayerRange(0, Integer.MAX_VALUE);

  /** No layers. */
  public static final LayerRange NONE = new LayerRange(0, 0);

  /** Returns the range from the first to the last layer of this and another range. */
  public LayerRange hull(LayerRange other) {
    return new LayerRange(Math.min(from, other.from), Math.max(to, other.to));
  }

  /** Returns whether the range contains all of a number of layers. */
  public boolean covers(int layers) {
    return from == 0 && to >= layers;
  }
}
