package org.cornelchute.core.model;

/**
 * What an endpoint serves: one load of one version by one incarnation of its engine.
 *
 * @param model resolved name of the model, empty for plain services
 * @param manifest digest of the version's manifest, empty for plain services
 * @param epoch number of the load order that the agent confirmed
 */
public record Generation(String model, String manifest, long epoch) {

  /** Generation of an endpoint that serves no model. */
  public static final Generation NONE = new Generation("", "", 0);

  /** Returns whether an answer from {@code other} may continue one begun on this generation. */
  public boolean hasSameWeights(Generation other) {
    return manifest.equals(other.manifest) && model.equals(other.model);
  }
}
