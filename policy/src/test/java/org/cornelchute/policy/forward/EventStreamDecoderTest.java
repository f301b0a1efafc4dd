package org.cornelchute.policy.forward;

import static org.assertj.core.api.Assertions.assertThat;
import static org.junit.jupiter.api.Assertions.assertTimeoutPreemptively;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

/** Event streams are split at event boundaries, however their bytes arrive. */
class EventStreamDecoderTest {

  private static final String STREAM =
      "id: 1\ndata: a\n\nid: 2\ndata: b\n\ndata: without id\n\nid: 3\r\ndata: c\r\n\r\n";

  @Property(tries = 200)
  void returnsCompleteEventsHoweverBytesAreSplit(
      @ForAll @Size(max = 20) List<@IntRange(min = 1, max = 9) Integer> sizes) {
    EventStreamDecoder decoder = new EventStreamDecoder(-1);
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    byte[] input = STREAM.getBytes(StandardCharsets.US_ASCII);
    int offset = 0;
    for (int i = 0; offset < input.length; i++) {
      int size = i < sizes.size() ? sizes.get(i) : input.length;
      int end = Math.min(input.length, offset + size);
      for (byte[] event : decoder.decode(Arrays.copyOfRange(input, offset, end))) {
        out.writeBytes(event);
      }
      offset = end;
    }
    assertThat(out.toString(StandardCharsets.US_ASCII)).isEqualTo(STREAM);
    assertThat(decoder.lastEventId()).isEqualTo(3);
    assertThat(decoder.hasPartialEvent()).isFalse();
  }

  @Test
  void dropsPartialAndDuplicateEventsAfterResume() {
    EventStreamDecoder decoder = new EventStreamDecoder(-1);
    assertThat(decoder.decode(bytes("id: 1\ndata: a\n\nid: 2\nda"))).hasSize(1);
    assertThat(decoder.hasPartialEvent()).isTrue();
    assertThat(decoder.lastEventId()).isEqualTo(1);
    EventStreamDecoder next = new EventStreamDecoder(decoder.lastEventId(), true);
    assertThat(next.hasPartialEvent()).isFalse();
    List<byte[]> events = next.decode(bytes("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"));
    assertThat(events).containsExactly(bytes("id: 2\ndata: b\n\n"));
    assertThat(next.lastEventId()).isEqualTo(2);
  }

  /** Guards against an event that is buffered without bound because its end never comes. */
  @Test
  void exceedsItsLimitOnEventsWithoutEnd() {
    EventStreamDecoder decoder = new EventStreamDecoder(-1);
    decoder.decode(new byte[EventStreamDecoder.MAX_BYTES_PER_EVENT]);
    assertThat(decoder.fault()).isEmpty();
    decoder.decode(bytes("a"));
    assertThat(decoder.fault()).isPresent();
    EventStreamDecoder next = new EventStreamDecoder(decoder.lastEventId(), true);
    assertThat(next.decode(bytes("id: 1\ndata: a\n\n"))).hasSize(1);
    assertThat(next.fault()).isEmpty();
  }

  /** Guards against garbage, blank lines, comments or old events that keep a stream alive. */
  @Test
  void exceedsItsLimitOnBytesThatAreNoNewEvents() {
    for (String pattern : List.of("\n", "\r\n", ": comment\n\n", "id: 1\n\n", "other: 1\n\n")) {
      EventStreamDecoder decoder = new EventStreamDecoder(1);
      byte[] block = bytes(pattern.repeat(1_000));
      int sent = 0;
      while (decoder.fault().isEmpty()) {
        decoder.decode(block);
        sent += block.length;
        assertThat(sent)
            .as(pattern)
            .isLessThanOrEqualTo(EventStreamDecoder.MAX_BYTES_PER_EVENT + block.length);
      }
    }
  }

  /** Guards against a limit on whole streams. */
  @Test
  void staysWithinItsLimitOnEvents() {
    EventStreamDecoder decoder = new EventStreamDecoder(-1);
    byte[] event = bytes("data: " + "a".repeat(100_000) + "\n\n");
    for (int i = 0; i < 100; i++) {
      assertThat(decoder.decode(event)).hasSize(1);
      assertThat(decoder.fault()).isEmpty();
    }
  }

  /** Guards against bytes that are no event, taken for one, and against a gap in their place. */
  @Test
  void returnsNothingAfterBytesThatAreNoEvent() {
    for (String garbage : List.of("no event", "\u0001:\u0002", "{\"a\": 1}")) {
      EventStreamDecoder decoder = new EventStreamDecoder(-1);
      assertThat(decoder.decode(bytes("data: a\n\n" + garbage + "\n\ndata: b\n\n"))).hasSize(1);
      assertThat(decoder.fault()).isPresent();
      EventStreamDecoder next = new EventStreamDecoder(decoder.lastEventId(), true);
      assertThat(next.decode(bytes("id: 1\ndata: b\n\n"))).hasSize(1);
      assertThat(next.fault()).isEmpty();
    }
  }

  /** Guards against a fault in streams with comments and fields that callers ignore. */
  @Test
  void returnsCommentsAndUnknownFields() {
    EventStreamDecoder decoder = new EventStreamDecoder(-1);
    for (String block : List.of(": comment", "data", "other: 1\nretry: 2", "other-1: 1", ":")) {
      assertThat(decoder.decode(bytes(block + "\n\n"))).as(block).hasSize(1);
      assertThat(decoder.fault()).as(block).isEmpty();
    }
  }

  /** Failure: the head of a response in the body of a stream was returned as an event. */
  @Test
  void returnsNoHeadOfResponse() {
    for (boolean resumed : List.of(false, true)) {
      EventStreamDecoder decoder = new EventStreamDecoder(-1, resumed);
      assertThat(decoder.decode(bytes("id: 1\ndata: a\n\n"))).hasSize(1);
      String head = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 4\r\n\r\noops";
      assertThat(decoder.decode(bytes(head))).as("resumed=" + resumed).isEmpty();
      assertThat(decoder.fault()).as("resumed=" + resumed).isPresent();
    }
  }

  /**
   * Failure: bytes that are no part of the stream were returned as its continuation: lines like
   * fields, events without id, and events with other lines in them.
   */
  @Test
  void returnsOnlyEventsWithIdsFromResumedStream() {
    for (String block :
        List.of(
            "Server: x",
            "Server: x\r\nContent-Length: 4",
            ": comment\nother: 1",
            "data: b",
            "data",
            "event: error\ndata: b",
            "id: none\ndata: b",
            "id:\ndata: b",
            "no field\nid: 2\ndata: b",
            "id: 2\ndata: b\n{\"error\": 1}")) {
      EventStreamDecoder decoder = new EventStreamDecoder(1, true);
      assertThat(decoder.decode(bytes(block + "\n\nid: 3\ndata: c\n\n"))).as(block).isEmpty();
      assertThat(decoder.fault()).as(block).isPresent();
      assertThat(decoder.lastEventId()).as(block).isEqualTo(1);
    }
  }

  /** Guards against a fault in sound resumed streams. */
  @Test
  void returnsEventsAndCommentsFromResumedStream() {
    EventStreamDecoder decoder = new EventStreamDecoder(1, true);
    assertThat(decoder.decode(bytes("id: 1\ndata: a\n\n"))).isEmpty();
    for (String block :
        List.of(
            ": comment",
            "retry: 2",
            "event: ping",
            "id: 2\ndata: b\ndata: c",
            "weight-versions: 2\nid: 3\ndata: b",
            "id: 4\r\nevent: x\r\n: comment\r\ndata: b",
            "id: 9\ndata: HTTP/1.1 500")) {
      assertThat(decoder.decode(bytes(block + "\n\n"))).as(block).hasSize(1);
      assertThat(decoder.fault()).as(block).isEmpty();
    }
    assertThat(decoder.lastEventId()).isEqualTo(9);
  }

  /** Guards against a stream that is resumed after an event that has no id. */
  @Test
  void tellsWhetherTheLastEventHasAnId() {
    EventStreamDecoder decoder = new EventStreamDecoder(-1);
    assertThat(decoder.isResumable()).isTrue();
    decoder.decode(bytes("id: 1\ndata: a\n\n: comment\n\nretry: 1\n\n"));
    assertThat(decoder.isResumable()).isTrue();
    decoder.decode(bytes("data: b\n\n: comment\n\n"));
    assertThat(decoder.isResumable()).isFalse();
    decoder.decode(bytes("id: 1\ndata: a\n\n"));
    assertThat(decoder.isResumable()).isFalse();
    decoder.decode(bytes("id: 2\ndata: c\n\n"));
    assertThat(decoder.isResumable()).isTrue();
    decoder.decode(bytes("id: none\ndata: d\n\n"));
    assertThat(decoder.isResumable()).isFalse();
  }

  /** Guards against blank lines after the last event that are taken for the start of another. */
  @Test
  void blankLinesAreNoPartialEvent() {
    EventStreamDecoder decoder = new EventStreamDecoder(-1);
    assertThat(decoder.decode(bytes("data: a\n\n\n"))).hasSize(1);
    assertThat(decoder.hasPartialEvent()).isFalse();
    assertThat(decoder.decode(bytes("\r\n"))).isEmpty();
    assertThat(decoder.hasPartialEvent()).isFalse();
    assertThat(decoder.decode(bytes("data: b\n\n"))).hasSize(1);
  }

  /** Guards against a time that grows with the square of the bytes of an event. */
  @Test
  void decodesSingleBytesInLinearTime() {
    for (byte b : bytes("a\n")) {
      EventStreamDecoder decoder = new EventStreamDecoder(-1);
      byte[] part = {b};
      assertTimeoutPreemptively(
          Duration.ofSeconds(5),
          () -> {
            while (decoder.fault().isEmpty()) {
              decoder.decode(part);
            }
          });
    }
  }

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.US_ASCII);
  }
}
