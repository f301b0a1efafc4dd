package org.cornelchute.entry;

import java.io.ByteArrayOutputStream;

/** Collects a request body up to a limit; what is over the limit is not kept. */
final class BodyBuffer {

  private final int maxBytes;
  private final ByteArrayOutputStream toByteArray = new ByteArrayOutputStream();
  private boolean isTooLarge;

  BodyBuffer(int limit) {
    this.maxBytes = limit;
  }

  void add(byte[] part) {
    if (toByteArray.size() + part.length > maxBytes) {
      isTooLarge = true;
      return;
    }
    toByteArray.writeBytes(part);
  }

  boolean isTooLarge() {
    return isTooLarge;
  }

  byte[] toByteArray() {
    return toByteArray.toByteArray();
  }
}
