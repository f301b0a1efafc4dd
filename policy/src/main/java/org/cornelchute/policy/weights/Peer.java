package org.cornelchute.policy.weights;

import java.util.BitSet;

/** What an agent knows of another that wants the same version; owned by the decider. */
final class Peer {

  final String id;
  final String address;
  final String region;
  final long boot;
  final BitSet held = new BitSet();
  boolean greeted;

  /** Whether the connection to it was lost and it was not heard of since. */
  boolean down;

  /** When it was greeted without an answer so far, 0 if it was not. */
  long askedAt;

  /** When it was last heard of. */
  long heardAt;

  int inFlight;
  int queued;

  /** Chunks in a row that did not verify. */
  int strikes;

  /** Requests in a row that timed out. */
  int slow;

  long avoidUntil;

  Peer(String id, String address, String region, long boot) {
    this.id = id;
    this.address = address;
    this.region = region;
    this.boot = boot;
  }

  /** Returns the work that one more request to this peer would wait behind. */
  int pressure() {
    return inFlight + queued;
  }
}
