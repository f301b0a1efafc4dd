package org.cornelchute.policy.weights;

import java.util.BitSet;

/** Mutable state of another agent that wants or holds the same version; owned by the decider. */
final class Peer {

  final String id;
  final String address;
  final String region;

  /** Incarnation of its process, as in {@link org.cornelchute.core.model.Member#boot()}. */
  final long boot;

  /** Chunks that it holds, as far as known from its messages. */
  final BitSet held = new BitSet();

  /** Whether it has sent the list of chunks that it holds since it was added or last lost. */
  boolean handshakeDone;

  /** Whether it was lost and has sent no message since. */
  boolean lost;

  /** Time of the first handshake sent to it since its last message, 0 if none. */
  long handshakeSentAt;

  /** Time of its last message, 0 if none. */
  long lastMessageAt;

  /** Chunk requests sent to it and not yet answered. */
  int requestsInFlight;

  /** Uploads queued at the peer, as it last reported. */
  int queuedUploads;

  /** Consecutive chunks from it that did not match their digest. */
  int consecutiveCorruptChunks;

  /** Consecutive requests to it that timed out. */
  int consecutiveTimeouts;

  /** Time until which it receives no chunk requests. */
  long backoffUntil;

  Peer(String id, String address, String region, long boot) {
    this.id = id;
    this.address = address;
    this.region = region;
    this.boot = boot;
  }

  /** Returns the number of chunks that another request to this peer would wait for. */
  int backlog() {
    return requestsInFlight + queuedUploads;
  }
}
