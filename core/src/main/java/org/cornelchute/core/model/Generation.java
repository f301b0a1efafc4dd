package org.cornelchute.core.model;

/**
 * What an endpoint serves: one load of one version into one incarnation of its engine.
 *
 * @param model resolved name of the model, empty for plain services
 * @param manifest digest of the version's manifest, empty for plain services
 * @param epoch fencing number of the load that the engine confirmed
 */
public record Generation(String model, String manifest, long epoch) {

  /** Generation of an endpoint that serves no model. */
  public static final Generation NONE = new Generation("", "", 0);

  /**
   * Returns whether {@code other} serves the same weights, so that it can continue an answer that
   * was started on this generation.
   */
  public boolean hasSameWeights(Generation other) {
    return manifest.equals(other.manifest) && model.equals(other.model);
  }
}
