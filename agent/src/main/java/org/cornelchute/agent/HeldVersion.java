package org.cornelchute.agent;

import java.util.BitSet;
import java.util.List;
import org.cornelchute.policy.weights.Manifest;
import org.cornelchute.policy.weights.SwarmDecider;

/** One version's verified chunks in memory, with the decider that fetches and serves them. */
final class HeldVersion {

  final Manifest manifest;
  final byte[][] chunks;
  SwarmDecider decider;

  /** Chunks that did not verify. */
  int corruptChunkCount;

  HeldVersion(Manifest manifest) {
    this.manifest = manifest;
    this.chunks = new byte[manifest.chunks().size()][];
  }

  /** Takes over the chunks that another version shares with this one. */
  BitSet reuseChunks(HeldVersion other) {
    for (int i = 0; i < other.chunks.length; i++) {
      int at = other.chunks[i] == null ? -1 : indexOf(other.manifest.chunks().get(i));
      if (at >= 0) {
        chunks[at] = other.chunks[i];
      }
    }
    return heldChunks();
  }

  /** Returns one bit for each chunk at hand. */
  BitSet heldChunks() {
    BitSet held = new BitSet();
    for (int i = 0; i < chunks.length; i++) {
      held.set(i, chunks[i] != null);
    }
    return held;
  }

  /** Returns the whole version; only valid when every chunk is held. */
  List<byte[]> allChunks() {
    return List.of(chunks);
  }

  private int indexOf(String digest) {
    return manifest.chunks().indexOf(digest);
  }
}
