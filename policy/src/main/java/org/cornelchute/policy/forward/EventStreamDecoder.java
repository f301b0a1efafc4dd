package org.cornelchute.policy.forward;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;

/**
 * Splits the bytes of an event stream into complete events, so that a stream that breaks off can be
 * resumed on another endpoint.
 *
 * <p>An event whose id is not greater than the last id is dropped, since the caller already
 * received it before the stream was resumed. Comments and unknown fields are returned like events,
 * but count towards the bytes without one. Bytes between two blank lines without any known field,
 * of which a line is neither a comment nor has the form of a field, make the stream faulty.
 *
 * <p>A resumed stream continues what the caller already has, so that bytes that are no part of it
 * must not be returned. It is faulty if any line is neither a comment nor has the form of a field,
 * and if data or unknown fields come without an id, which alone tells where they belong.
 */
public final class EventStreamDecoder {

  /** Maximum number of bytes between the ends of two events, and so the maximum size of one. */
  public static final int MAX_BYTES_PER_EVENT = 1_048_576;

  private static final byte[] NO_BYTES = new byte[0];
  private static final byte[] ID_FIELD = "id".getBytes(StandardCharsets.US_ASCII);
  private static final byte[] DATA_FIELD = "data".getBytes(StandardCharsets.US_ASCII);

  private static final List<byte[]> FIELDS =
      List.of(
          DATA_FIELD,
          ID_FIELD,
          "event".getBytes(StandardCharsets.US_ASCII),
          "retry".getBytes(StandardCharsets.US_ASCII));

  private final boolean resumed;

  /** Received bytes that are not part of a complete event yet. */
  private byte[] buffer = NO_BYTES;

  private int size;

  /** Index of the first buffered byte after leading blank lines. */
  private int first;

  /** Number of buffered bytes that are known to hold no end of an event. */
  private int scanned;

  private long bytesSinceEvent;
  private boolean corrupt;
  private long lastEventId;
  private boolean resumable = true;

  /**
   * Creates a decoder of a stream that is not resumed by this process.
   *
   * @param lastEventId id of the last delivered event, negative if none
   */
  public EventStreamDecoder(long lastEventId) {
    this(lastEventId, false);
  }

  /**
   * Creates a decoder.
   *
   * @param lastEventId id of the last delivered event, negative if none
   * @param resumed whether the stream continues that of another endpoint
   */
  public EventStreamDecoder(long lastEventId, boolean resumed) {
    this.lastEventId = lastEventId;
    this.resumed = resumed;
  }

  /** Returns the id of the last event that was returned or already delivered, negative if none. */
  public long lastEventId() {
    return lastEventId;
  }

  /**
   * Returns whether the stream may be resumed after the last event that was returned: not if that
   * has data and no id, since another endpoint cannot tell where to go on.
   */
  public boolean isResumable() {
    return resumable;
  }

  /** Returns whether the received bytes end within an event. */
  public boolean hasPartialEvent() {
    return first < size;
  }

  /** Returns why no more events can be expected from the endpoint, empty if they can. */
  public Optional<String> fault() {
    if (corrupt) {
      return Optional.of("stream holds bytes that are no event");
    }
    return bytesSinceEvent > MAX_BYTES_PER_EVENT
        ? Optional.of("no event within " + MAX_BYTES_PER_EVENT + " bytes of the stream")
        : Optional.empty();
  }

  /** Adds received bytes and returns the events and comments that they complete, in order. */
  public List<byte[]> decode(byte[] bytes) {
    append(bytes);
    List<byte[]> events = new ArrayList<>(2);
    int start = 0;
    skipBlankLines(first);
    for (int i = Math.max(first, scanned); i < size && !corrupt; i++) {
      if (endsWithBlankLine(i)) {
        emit(events, start, i + 1);
        start = i + 1;
        skipBlankLines(start);
        i = first - 1;
      }
    }
    keepFrom(start);
    return events;
  }

  private void append(byte[] bytes) {
    if (size + bytes.length > buffer.length) {
      buffer = Arrays.copyOf(buffer, Math.max(size + bytes.length, 2 * size));
    }
    System.arraycopy(bytes, 0, buffer, size, bytes.length);
    size += bytes.length;
    bytesSinceEvent += bytes.length;
  }

  private void keepFrom(int start) {
    buffer = start == 0 ? buffer : Arrays.copyOfRange(buffer, start, size);
    size -= start;
    first -= start;
    scanned = size;
  }

  private void emit(List<byte[]> events, int start, int end) {
    boolean event = false;
    boolean malformed = false;
    boolean data = false;
    boolean needsId = false;
    long id = -1;
    for (int i = first; i < end; i = nextLine(i, end)) {
      if (buffer[i] == '\n' || buffer[i] == '\r') {
        continue;
      }
      boolean field = startsWithField(i);
      event = event || field;
      malformed = malformed || !field && !startsWithName(i);
      data = data || isField(i, DATA_FIELD);
      needsId = needsId || data || !field && buffer[i] != ':';
      if (id < 0 && isField(i, ID_FIELD)) {
        id = parseId(i + ID_FIELD.length, end);
      }
    }
    corrupt = resumed ? malformed || needsId && id < 0 : malformed && !event;
    if (corrupt || id >= 0 && id <= lastEventId) {
      return;
    }
    if (id >= 0) {
      lastEventId = id;
    }
    resumable = id >= 0 || resumable && !data;
    if (event) {
      bytesSinceEvent = size - end;
    }
    events.add(Arrays.copyOfRange(buffer, start, end));
  }

  /** Returns whether the line feed at an index ends a blank line after an event. */
  private boolean endsWithBlankLine(int index) {
    if (buffer[index] != '\n' || index == first) {
      return false;
    }
    boolean afterCarriageReturn = buffer[index - 1] == '\r' && index - 2 >= first;
    return buffer[afterCarriageReturn ? index - 2 : index - 1] == '\n';
  }

  private void skipBlankLines(int from) {
    first = from;
    while (first < size && (buffer[first] == '\n' || buffer[first] == '\r')) {
      first++;
    }
  }

  private int nextLine(int from, int end) {
    int i = from;
    while (i < end && buffer[i] != '\n') {
      i++;
    }
    return i + 1;
  }

  private boolean startsWithField(int index) {
    for (byte[] field : FIELDS) {
      if (isField(index, field)) {
        return true;
      }
    }
    return false;
  }

  /** Returns whether the line at an index is a comment or has the form of a field. */
  private boolean startsWithName(int index) {
    int i = index;
    while (i < size
        && (Character.isLetterOrDigit(buffer[i]) || buffer[i] == '-' || buffer[i] == '_')) {
      i++;
    }
    return i < size && buffer[i] == ':';
  }

  /** Returns whether the line at an index has a field, with a value or without. */
  private boolean isField(int index, byte[] name) {
    int end = index + name.length;
    return end < size
        && Arrays.equals(buffer, index, end, name, 0, name.length)
        && (buffer[end] == ':' || buffer[end] == '\n' || buffer[end] == '\r');
  }

  /** Returns the value of an id field, -1 if it is not a number. */
  private long parseId(int from, int end) {
    long value = 0;
    boolean digits = false;
    for (int i = from; i < end && buffer[i] != '\n' && buffer[i] != '\r'; i++) {
      if (buffer[i] >= '0' && buffer[i] <= '9') {
        value = value * 10 + buffer[i] - '0';
        digits = true;
      } else if (buffer[i] != ' ' && buffer[i] != ':') {
        return -1;
      }
    }
    return digits ? value : -1;
  }
}
