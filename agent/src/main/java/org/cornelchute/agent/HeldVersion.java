package org.cornelchute.agent;

import java.util.BitSet;
import java.util.List;
import org.cornelchute.policy.weights.Manifest;
import org.cornelchute.policy.weights.SwarmDecider;

/** Verified chunks of one version in memory and the decider of their exchange with other agents. */
final class HeldVersion {

  final Manifest manifest;

  /** Content by chunk index, null where a chunk is not held. */
  final byte[][] chunks;

  /** Set before the version is stored, once the chunks of older versions have been adopted. */
  SwarmDecider decider;

  /** Number of received chunks that did not match their digest. */
  int corruptChunkCount;

  /** Whether the listener was notified that only the last chunks are missing. */
  boolean nearlyComplete;

  HeldVersion(Manifest manifest) {
    this.manifest = manifest;
    this.chunks = new byte[manifest.chunks().size()][];
  }

  /**
   * Adopts the held chunks of another version that this version also contains.
   *
   * @return the chunks held now
   */
  BitSet reuseChunks(HeldVersion other) {
    for (int i = 0; i < other.chunks.length; i++) {
      int index = other.chunks[i] == null ? -1 : indexOf(other.manifest.chunks().get(i));
      if (index >= 0) {
        chunks[index] = other.chunks[i];
      }
    }
    return heldChunks();
  }

  /** Returns the indexes of the chunks held. */
  BitSet heldChunks() {
    BitSet held = new BitSet();
    for (int i = 0; i < chunks.length; i++) {
      held.set(i, chunks[i] != null);
    }
    return held;
  }

  /** Returns all chunks in order; every chunk must be held. */
  List<byte[]> allChunks() {
    return List.of(chunks);
  }

  private int indexOf(String digest) {
    return manifest.chunks().indexOf(digest);
  }
}
