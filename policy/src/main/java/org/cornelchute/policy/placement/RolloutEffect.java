package org.cornelchute.policy.placement;

import org.cornelchute.core.log.Decision;
import org.cornelchute.core.model.Generation;
import org.cornelchute.policy.weights.Manifest;

/** Action that a {@link RolloutDecider} requests from its duty. */
public sealed interface RolloutEffect {

  /** Reads the manifest of a version from the origin. */
  record ReadManifest(String model, String version) implements RolloutEffect {}

  /** Starts to fetch the chunks of a version and to serve them to other agents. */
  record StartSwarm(Manifest manifest) implements RolloutEffect {}

  /** Closes the endpoint: no more requests may be sent to it. */
  record CloseEndpoint() implements RolloutEffect {}

  /** Obtains the next fencing number, with which the engine is to load a version. */
  record LoadVersion(Manifest manifest) implements RolloutEffect {}

  /** Instructs the engine to load a version. */
  record SendLoad(Manifest manifest, long fencingNumber) implements RolloutEffect {}

  /** Opens the endpoint for a generation that the engine has confirmed. */
  record OpenEndpoint(Generation generation) implements RolloutEffect {}

  /**
   * Announces to other members what this agent serves and fetches.
   *
   * @param wantedManifest digest of the manifest of the assigned version, or empty
   */
  record Announce(Generation generation, String wantedManifest) implements RolloutEffect {}

  /** Writes a decision to the decision log. */
  record Log(Decision decision) implements RolloutEffect {}
}
