package org.cornelchute.policy.weights;

import org.cornelchute.core.log.Decision;
import org.cornelchute.core.message.SwarmMessage;

/** What a {@link SwarmDecider} asks its duty to do. */
public sealed interface SwarmEffect {

  /** Send a message to another agent; it may be lost. */
  record Send(String peer, String address, SwarmMessage message) implements SwarmEffect {}

  /** Send a chunk over the limited link, then report it as uploaded. */
  record Upload(String peer, String address, int chunk) implements SwarmEffect {}

  /** Read a chunk from the origin. */
  record FetchOrigin(int chunk) implements SwarmEffect {}

  /** Every chunk is held and verified. */
  record Complete() implements SwarmEffect {}

  /** Write a decision to the log. */
  record Log(Decision decision) implements SwarmEffect {}
}
