package org.cornelchute.core.message;

/** Messages between agents about the chunks of one version. */
public sealed interface SwarmMessage extends Message {

  /** Digest of the manifest that names the version. */
  String manifest();

  /**
   * Greets a neighbour and says which chunks the sender holds.
   *
   * @param heldChunks one bit a chunk, little-endian as in {@code BitSet.toByteArray()}
   * @param wantsReply whether the receiver is asked for its own
   */
  record Bitfield(String manifest, byte[] heldChunks, boolean wantsReply) implements SwarmMessage {}

  /** Says that the sender now holds one more chunk. */
  record Have(String manifest, int chunk, int queueLength) implements SwarmMessage {}

  /** Asks for a chunk. */
  record ChunkRequest(String manifest, int chunk) implements SwarmMessage {}

  /** Carries a chunk; the receiver verifies it against the manifest. */
  record ChunkData(String manifest, int chunk, int queueLength, byte[] bytes)
      implements SwarmMessage {}

  /** Refuses a chunk: the sender's queue is full or it lacks the chunk. */
  record ChunkRefused(String manifest, int chunk, boolean chunkMissing) implements SwarmMessage {}
}
