package org.cornelchute.core.message;

/** Messages between agents about the chunks of one version. */
public sealed interface SwarmMessage extends Message {

  /** Digest of the manifest that identifies the version. */
  String manifest();

  /**
   * Reports which chunks the sender holds; the first message to a neighbor.
   *
   * @param heldChunks one bit per chunk, little-endian as in {@code BitSet.toByteArray()}
   * @param wantsReply whether the receiver is to answer with its own bitfield
   */
  record Bitfield(String manifest, byte[] heldChunks, boolean wantsReply) implements SwarmMessage {}

  /**
   * Reports that the sender holds one more chunk.
   *
   * @param queueLength number of chunk requests queued at the sender
   */
  record Have(String manifest, int chunk, int queueLength) implements SwarmMessage {}

  /** Requests a chunk. */
  record ChunkRequest(String manifest, int chunk) implements SwarmMessage {}

  /**
   * Carries a chunk; the receiver verifies it against the manifest.
   *
   * @param queueLength number of chunk requests queued at the sender
   */
  record ChunkData(String manifest, int chunk, int queueLength, byte[] bytes)
      implements SwarmMessage {}

  /**
   * Refuses a chunk request because the sender does not hold the chunk or its queue is full.
   *
   * @param chunkMissing whether the sender does not hold the chunk
   */
  record ChunkRefused(String manifest, int chunk, boolean chunkMissing) implements SwarmMessage {}
}
