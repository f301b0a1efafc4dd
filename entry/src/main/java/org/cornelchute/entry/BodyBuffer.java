package org.cornelchute.entry;

import java.io.ByteArrayOutputStream;

/** Buffers a request body up to a limit; parts that would exceed the limit are discarded. */
final class BodyBuffer {

  private final int maxBytes;
  private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
  private boolean tooLarge;

  BodyBuffer(int maxBytes) {
    this.maxBytes = maxBytes;
  }

  void add(byte[] part) {
    if (bytes.size() + part.length > maxBytes) {
      tooLarge = true;
      return;
    }
    bytes.writeBytes(part);
  }

  boolean isTooLarge() {
    return tooLarge;
  }

  byte[] toByteArray() {
    return bytes.toByteArray();
  }
}
