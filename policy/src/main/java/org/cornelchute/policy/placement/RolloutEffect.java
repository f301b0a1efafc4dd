package org.cornelchute.policy.placement;

import org.cornelchute.core.log.Decision;
import org.cornelchute.core.model.Generation;
import org.cornelchute.policy.weights.Manifest;

/** What a {@link RolloutDecider} asks its duty to do. */
public sealed interface RolloutEffect {

  /** Read the manifest of a version from the origin. */
  record ReadManifest(String model, String version) implements RolloutEffect {}

  /** Fetch the chunks of a version and hand them on to others. */
  record StartSwarm(Manifest manifest) implements RolloutEffect {}

  /** Stop serving: no request may be sent to the endpoint any more. */
  record CloseEndpoint() implements RolloutEffect {}

  /** Order the engine to load a version, with the next fencing number. */
  record LoadVersion(Manifest manifest) implements RolloutEffect {}

  /** Serve: the engine has confirmed what it holds. */
  record OpenEndpoint(Generation generation) implements RolloutEffect {}

  /** Tell other members what this agent serves and wants. */
  record Announce(Generation generation, String wantedManifest) implements RolloutEffect {}

  /** Write a decision to the log. */
  record Log(Decision decision) implements RolloutEffect {}
}
