package org.cornelchute.entry.direct;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;
import org.assertj.core.api.SoftAssertions;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.parallel.Execution;
import org.junit.jupiter.api.parallel.ExecutionMode;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Streams that begin and break off, and endpoints that answer the next attempt with something else
 * than the rest of the stream.
 */
@Timeout(60)
class ResumedStreamOverSocketsTest {

  private static final int EVENT_COUNT = 5;
  private static final int EVENTS_BEFORE_BREAK = 2;

  /** Timeout of the route, of which the entry waits 0.9 s for a silent endpoint. */
  private static final long TIMEOUT_MILLIS = 4_000;

  private static final String COMMENT = ": comment\n\n";
  private static final String HEAD_TEXT =
      "HTTP/1.1 500 Internal Server Error\r\nServer: x\r\nContent-Length: 4\r\n\r\noops";

  /** What the first attempt delivers after its head. */
  enum Break {
    BEFORE_EVENTS,
    BETWEEN_EVENTS,
    INSIDE_EVENT,
    BEFORE_END,
    SILENT;

    private void write(ScriptedEndpoint.Output output) throws IOException {
      int whole =
          this == BEFORE_EVENTS ? 0 : this == BEFORE_END ? EVENT_COUNT : EVENTS_BEFORE_BREAK;
      for (int id = 1; id <= whole; id++) {
        output.write(ScriptedEndpoint.event(id));
      }
      if (this == INSIDE_EVENT) {
        output.write(ScriptedEndpoint.chunk("id: " + (whole + 1) + "\nda"));
      } else if (this == SILENT) {
        output.pause(3 * TIMEOUT_MILLIS);
      }
    }
  }

  /** How the second attempt is answered. */
  enum Answer {
    REST,
    FROM_FIRST_EVENT,
    STATUS_500,
    STATUS_500_LIKE_A_STREAM,
    STATUS_503_NOT_EXECUTED,
    STATUS_421,
    STATUS_404,
    PLAIN_TEXT,
    PLAIN_TEXT_LIKE_A_STREAM,
    JSON,
    JSON_AS_STREAM,
    UNSIGNED,
    EMPTY,
    EMPTY_UNTIL_CLOSE,
    ONLY_OLD_EVENTS,
    ONLY_COMMENTS,
    WITHOUT_IDS,
    HEAD_IN_BODY,
    HEAD_LINES_IN_BODY,
    HEAD_IN_BODY_AFTER_EVENT,
    NO_HTTP,
    NOTHING;

    private boolean write(Map<String, String> request, ScriptedEndpoint.Output output)
        throws IOException {
      int next = 1 + lastEventId(request);
      switch (this) {
        case REST:
          return resume(request, output);
        case FROM_FIRST_EVENT:
          return writeStream(request, output, events(1, EVENT_COUNT));
        case STATUS_500:
          return writeText(request, output, "500 Internal Server Error", "text/plain", "oops\n\n");
        case STATUS_500_LIKE_A_STREAM:
          return writeText(
              request,
              output,
              "500 Internal Server Error",
              "text/event-stream",
              "id: " + next + "\ndata: oops\n\n");
        case STATUS_503_NOT_EXECUTED:
          output.write(
              ScriptedEndpoint.head(
                  "503 Service Unavailable", request, "x-not-executed: 1", "Content-Length: 4"));
          output.write("full");
          return true;
        case STATUS_421:
          return writeText(request, output, "421 Misdirected Request", "text/plain", "other\n\n");
        case STATUS_404:
          return writeText(request, output, "404 Not Found", "text/plain", "a: b\n\n");
        case PLAIN_TEXT:
          return writeText(request, output, "200 OK", "text/plain", "no event\na: b\n\nc: d\n\n");
        case PLAIN_TEXT_LIKE_A_STREAM:
          return writeText(
              request, output, "200 OK", "text/plain", "id: " + next + "\ndata: text\n\n");
        case JSON:
          return writeText(request, output, "200 OK", "application/json", "{\"error\": \"x\"}");
        case JSON_AS_STREAM:
          return writeStream(request, output, ScriptedEndpoint.chunk("{\"error\": \"x\"}"));
        case UNSIGNED:
          output.write(
              ScriptedEndpoint.head(
                  "200 OK",
                  request,
                  "Content-Type: text/event-stream",
                  "Transfer-Encoding: chunked"));
          output.write(ScriptedEndpoint.chunk("id: " + next + "\ndata: unsigned\n\n"));
          output.write(ScriptedEndpoint.lastChunk());
          return true;
        case EMPTY:
          return writeStream(request, output, "");
        case EMPTY_UNTIL_CLOSE:
          output.write(
              ScriptedEndpoint.head(
                  "200 OK",
                  request,
                  "x-signature: signed",
                  "Content-Type: text/event-stream",
                  "Connection: close"));
          return false;
        case ONLY_OLD_EVENTS:
          return writeStream(request, output, events(1, next - 1));
        case ONLY_COMMENTS:
          return writeStream(request, output, ScriptedEndpoint.chunk(COMMENT));
        case WITHOUT_IDS:
          return writeStream(request, output, ScriptedEndpoint.chunk("data: d" + next + "\n\n"));
        case HEAD_IN_BODY:
          return writeStream(request, output, ScriptedEndpoint.chunk(HEAD_TEXT));
        case HEAD_LINES_IN_BODY:
          return writeStream(
              request, output, ScriptedEndpoint.chunk("Server: x\r\nContent-Length: 4\r\n\r\n"));
        case HEAD_IN_BODY_AFTER_EVENT:
          return writeStream(
              request,
              output,
              events(next, Math.min(next, EVENT_COUNT)) + ScriptedEndpoint.chunk(HEAD_TEXT));
        case NO_HTTP:
          output.write("internal error: x\r\n\r\n");
          return false;
        default:
          return false;
      }
    }

    private static boolean writeText(
        Map<String, String> request,
        ScriptedEndpoint.Output output,
        String status,
        String type,
        String text)
        throws IOException {
      output.write(
          ScriptedEndpoint.head(
              status,
              request,
              "x-signature: signed",
              "Content-Type: " + type,
              "Content-Length: " + text.length()));
      output.write(text);
      return true;
    }

    private static boolean writeStream(
        Map<String, String> request, ScriptedEndpoint.Output output, String chunks)
        throws IOException {
      output.write(ScriptedEndpoint.streamHead(request));
      output.write(chunks);
      output.write(ScriptedEndpoint.lastChunk());
      return true;
    }
  }

  private static int lastEventId(Map<String, String> request) {
    return Integer.parseInt(request.getOrDefault("last-event-id", "0"));
  }

  private static String events(int from, int to) {
    StringBuilder chunks = new StringBuilder();
    for (int id = from; id <= to; id++) {
      chunks.append(ScriptedEndpoint.event(id));
    }
    return chunks.toString();
  }

  private static boolean resume(Map<String, String> request, ScriptedEndpoint.Output output)
      throws IOException {
    return Answer.writeStream(request, output, events(1 + lastEventId(request), EVENT_COUNT));
  }

  private static String wholeBody() {
    StringBuilder body = new StringBuilder();
    for (int id = 1; id <= EVENT_COUNT; id++) {
      body.append("id: ").append(id).append("\ndata: d").append(id).append("\n\n");
    }
    return body.toString();
  }

  static Stream<Arguments> breaksAndAnswers() {
    List<Arguments> cases = new ArrayList<>();
    for (Break broken : Break.values()) {
      for (Answer answer : Answer.values()) {
        for (int maxAttempts = 2; broken != Break.SILENT && maxAttempts <= 3; maxAttempts++) {
          cases.add(Arguments.of(broken, answer, maxAttempts));
        }
      }
    }
    return cases.stream();
  }

  /** Sends a call to endpoints of which any breaks off first, and returns the response. */
  private static String call(Break broken, Answer answer, int maxAttempts) throws IOException {
    AtomicInteger attempts = new AtomicInteger();
    ScriptedEndpoint.Script script =
        (request, output) -> {
          switch (attempts.incrementAndGet()) {
            case 1:
              output.write(ScriptedEndpoint.streamHead(request));
              broken.write(output);
              return false;
            case 2:
              return answer.write(request, output);
            default:
              return resume(request, output);
          }
        };
    try (ScriptedEndpoint one = new ScriptedEndpoint(script);
        ScriptedEndpoint two = new ScriptedEndpoint(script);
        ScriptedEndpoint three = new ScriptedEndpoint(script);
        StreamFixture fixture = new StreamFixture(maxAttempts, TIMEOUT_MILLIS, one, two, three)) {
      String response = fixture.call("a");
      assertThat(attempts.get()).isBetween(2, maxAttempts);
      return response;
    }
  }

  /** Returns whether the caller gets all events and a complete end. */
  private static boolean expectsWhole(Break broken, Answer answer, int maxAttempts) {
    if (broken == Break.BEFORE_END) {
      // Nothing tells an endpoint that has nothing left to deliver from one that fails.
      return false;
    }
    return maxAttempts > 2 || answer == Answer.REST || answer == Answer.FROM_FIRST_EVENT;
  }

  private static void check(
      SoftAssertions softly, Break broken, Answer answer, int maxAttempts, String response) {
    String name = broken + " " + answer + " maxAttempts=" + maxAttempts;
    // Comments are part of a stream, and callers ignore them.
    String body = StreamFixture.body(response).replace(COMMENT, "");
    boolean whole = expectsWhole(broken, answer, maxAttempts);
    softly.assertThat(response).as(name).startsWith("HTTP/1.1 200 ");
    softly.assertThat(wholeBody()).as(name).startsWith(body);
    softly.assertThat(body).as(name).matches("(?s)|.*\n\n");
    softly.assertThat(StreamFixture.isComplete(response)).as(name).isEqualTo(whole);
    if (whole) {
      softly.assertThat(body).as(name).isEqualTo(wholeBody());
    }
  }

  /**
   * Failure: the caller found bytes that belong to no event in its stream, or the stream ended as
   * complete before its last event, or broke off though another attempt was left.
   */
  @Execution(ExecutionMode.CONCURRENT)
  @ParameterizedTest
  @MethodSource("breaksAndAnswers")
  void deliversOnlyTheStream(Break broken, Answer answer, int maxAttempts) throws Exception {
    SoftAssertions softly = new SoftAssertions();
    check(softly, broken, answer, maxAttempts, call(broken, answer, maxAttempts));
    softly.assertAll();
  }

  /** Failure: as above, with an attempt beside one that stays silent. */
  @ParameterizedTest
  @ValueSource(ints = {2, 3})
  void deliversOnlyTheStreamBesideSilentAttempt(int maxAttempts) {
    SoftAssertions softly = new SoftAssertions();
    Arrays.stream(Answer.values())
        .parallel()
        .forEach(
            answer -> {
              try {
                String response = call(Break.SILENT, answer, maxAttempts);
                synchronized (softly) {
                  check(softly, Break.SILENT, answer, maxAttempts, response);
                }
              } catch (IOException | AssertionError e) {
                synchronized (softly) {
                  softly.fail(answer + " maxAttempts=" + maxAttempts, e);
                }
              }
            });
    softly.assertAll();
  }

  /** Failure: events without ids were delivered twice, as the stream was started once more. */
  @Test
  void doesNotResumeEventsWithoutIds() throws Exception {
    AtomicInteger attempts = new AtomicInteger();
    String chunk = ScriptedEndpoint.chunk("data: a\n\n");
    ScriptedEndpoint.Script script =
        (request, output) -> {
          output.write(ScriptedEndpoint.streamHead(request) + chunk);
          if (attempts.incrementAndGet() == 1) {
            return false;
          }
          output.write(chunk + ScriptedEndpoint.lastChunk());
          return true;
        };
    try (ScriptedEndpoint one = new ScriptedEndpoint(script);
        ScriptedEndpoint two = new ScriptedEndpoint(script);
        StreamFixture fixture = new StreamFixture(one, two)) {
      String response = fixture.call("a");
      assertThat(StreamFixture.body(response)).isEqualTo("data: a\n\n");
      assertThat(StreamFixture.isComplete(response)).isFalse();
      assertThat(attempts.get()).isEqualTo(1);
    }
  }

  /**
   * Guards against a sound stream that is broken off because its ids do not follow one another. Ids
   * increase, and an event may stand for several steps, so that a jump does not tell a gap.
   */
  @Test
  void resumesStreamWhoseIdsJump() throws Exception {
    AtomicInteger attempts = new AtomicInteger();
    ScriptedEndpoint.Script script =
        (request, output) -> {
          output.write(ScriptedEndpoint.streamHead(request));
          if (attempts.incrementAndGet() == 1) {
            output.write(ScriptedEndpoint.event(1) + ScriptedEndpoint.event(2));
            return false;
          }
          output.write(ScriptedEndpoint.event(5) + ScriptedEndpoint.event(9));
          output.write(ScriptedEndpoint.lastChunk());
          return true;
        };
    try (ScriptedEndpoint one = new ScriptedEndpoint(script);
        ScriptedEndpoint two = new ScriptedEndpoint(script);
        StreamFixture fixture = new StreamFixture(one, two)) {
      String response = fixture.call("a");
      assertThat(StreamFixture.eventIds(response)).containsExactly(1, 2, 5, 9);
      assertThat(StreamFixture.isComplete(response)).isTrue();
    }
  }
}
