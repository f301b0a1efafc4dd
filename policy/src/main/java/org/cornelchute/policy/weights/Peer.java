package org.cornelchute.policy.weights;

import java.util.BitSet;

/** What an agent knows of another that wants the same version; owned by the decider. */
final class Peer {

  final String id;
  final String address;
  final String region;
  final long boot;
  final BitSet held = new BitSet();
  boolean handshakeDone;

  /** Whether the connection to it was lost and it was not heard of since. */
  boolean lost;

  /** When it was greeted without an answer so far, 0 if it was not. */
  long handshakeSentAt;

  /** When it was last heard of. */
  long lastMessageAt;

  int requestsInFlight;
  int queuedUploads;

  /** Chunks in a row that did not verify. */
  int consecutiveCorruptChunks;

  /** Requests in a row that timed out. */
  int consecutiveTimeouts;

  long backoffUntil;

  Peer(String id, String address, String region, long boot) {
    this.id = id;
    this.address = address;
    this.region = region;
    this.boot = boot;
  }

  /** Returns the work that one more request to this peer would wait behind. */
  int backlog() {
    return requestsInFlight + queuedUploads;
  }
}
