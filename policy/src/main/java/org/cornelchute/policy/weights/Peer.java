package org.cornelchute.policy.weights;

import java.util.BitSet;

/** What an agent knows of another that wants the same version; owned by the decider. */
final class Peer {

  final String id;
  final String address;
  final String region;
  final long boot;
  final BitSet held = new BitSet();
  boolean neighbour;
  boolean greeted;
  int inFlight;
  int queued;
  int strikes;
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
