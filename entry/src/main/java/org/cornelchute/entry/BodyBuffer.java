package org.cornelchute.entry;

import java.io.ByteArrayOutputStream;

/** Collects a request body up to a limit; what is over the limit is not kept. */
final class BodyBuffer {

  private final int limit;
  private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
  private boolean tooLarge;

  BodyBuffer(int limit) {
    this.limit = limit;
  }

  void add(byte[] part) {
    if (bytes.size() + part.length > limit) {
      tooLarge = true;
      return;
    }
    bytes.writeBytes(part);
  }

  boolean tooLarge() {
    return tooLarge;
  }

  byte[] bytes() {
    return bytes.toByteArray();
  }
}
