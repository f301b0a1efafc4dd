package org.cornelchute.entry.direct;

/** Memory that the buffered response bodies of all calls share; confined to the event loop. */
final class ResponseBudget {

  private final long maxBytes;
  private long reservedBytes;

  ResponseBudget(long maxBytes) {
    this.maxBytes = maxBytes;
  }

  /** Reserves memory, unless less is left. */
  boolean tryReserve(int bytes) {
    if (bytes > maxBytes - reservedBytes) {
      return false;
    }
    reservedBytes += bytes;
    return true;
  }

  void release(int bytes) {
    reservedBytes -= bytes;
  }

  long reservedBytes() {
    return reservedBytes;
  }
}
