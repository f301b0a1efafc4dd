package org.cornelchute.policy.weights;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;

/** The chunks that an agent sends to its peers, one at a time. */
final class UploadQueue {

  private final int capacity;
  private final int maxPerPeer;
  private final Deque<SwarmEffect.Upload> local = new ArrayDeque<>();

  /** Chunks for importers of other regions. */
  private final Deque<SwarmEffect.Upload> exports = new ArrayDeque<>();

  private boolean uploading;

  /**
   * Creates an empty queue.
   *
   * @param capacity chunks that may wait
   * @param maxPerPeer chunks that may wait for one peer, so that none of them starves the others
   */
  UploadQueue(int capacity, int maxPerPeer) {
    this.capacity = capacity;
    this.maxPerPeer = maxPerPeer;
  }

  int size() {
    return local.size() + exports.size();
  }

  /**
   * Adds a chunk unless the queue is full; returns whether it was added.
   *
   * @param toOtherRegion whether it is sent before those for agents of this region, since all
   *     agents of the other region wait for it; the queue has as many places for such chunks again
   */
  boolean offer(Peer peer, int chunk, boolean toOtherRegion) {
    Deque<SwarmEffect.Upload> queue = toOtherRegion ? exports : local;
    int queuedForPeer = 0;
    for (SwarmEffect.Upload upload : queue) {
      if (upload.peer().equals(peer.id)) {
        queuedForPeer++;
      }
    }
    if (queue.size() >= capacity || queuedForPeer >= maxPerPeer) {
      return false;
    }
    queue.add(new SwarmEffect.Upload(peer.id, peer.address, chunk));
    return true;
  }

  /** Removes and returns the next upload; empty if one is in progress or none waits. */
  Optional<SwarmEffect.Upload> startNext() {
    if (uploading || size() == 0) {
      return Optional.empty();
    }
    uploading = true;
    return Optional.of(exports.isEmpty() ? local.poll() : exports.poll());
  }

  /** Records the end of the upload in progress. */
  void complete() {
    uploading = false;
  }

  /** Removes the uploads that wait for a peer. */
  void removeAllOf(String peerId) {
    local.removeIf(u -> u.peer().equals(peerId));
    exports.removeIf(u -> u.peer().equals(peerId));
  }
}
