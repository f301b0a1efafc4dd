package org.cornelchute.policy.weights;

import org.cornelchute.core.log.Decision;
import org.cornelchute.core.message.SwarmMessage;

/** Action that a {@link SwarmDecider} requests from its duty. */
public sealed interface SwarmEffect {

  /** Sends a message to another agent; the message may be lost. */
  record Send(String peer, String address, SwarmMessage message) implements SwarmEffect {}

  /** Sends a chunk over the rate-limited link, then reports the end of the upload. */
  record Upload(String peer, String address, int chunk) implements SwarmEffect {}

  /** Reads a chunk from the origin. */
  record FetchOrigin(int chunk) implements SwarmEffect {}

  /** Reports that every chunk is held and verified. */
  record Complete() implements SwarmEffect {}

  /** Writes a decision to the log. */
  record Log(Decision decision) implements SwarmEffect {}
}
