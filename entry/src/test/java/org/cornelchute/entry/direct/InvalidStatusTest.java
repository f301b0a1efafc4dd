package org.cornelchute.entry.direct;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import org.cornelchute.policy.forward.CallKind;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Endpoints in trouble whose responses have a status that is none. Such a response counts as lost:
 * callers never receive it, and only calls that may be executed twice are sent again.
 */
@Timeout(60)
class InvalidStatusTest {

  private static final String SIGNATURE = "x-signature: signed";
  private static final String STREAM_TYPE = "Content-Type: text/event-stream";
  private static final String CHUNKED = "Transfer-Encoding: chunked";
  private static final String OK_BODY = "good";
  private static final String INVALID_BODY = "oops";

  private static ScriptedEndpoint.Output writePlain(
      ScriptedEndpoint.Output output, Map<String, String> request, String status, String body)
      throws IOException {
    String length = "Content-Length: " + body.length();
    return output.write(ScriptedEndpoint.head(status, request, SIGNATURE, length) + body);
  }

  /** Returns a script that answers the first request with a status and the others with 200. */
  private static ScriptedEndpoint.Script invalidOnce(String status, AtomicInteger attempts) {
    return (request, output) -> {
      boolean first = attempts.incrementAndGet() == 1;
      writePlain(output, request, first ? status : "200 OK", first ? INVALID_BODY : OK_BODY);
      return true;
    };
  }

  /** Failure: the caller of an order received status 000 and the body of the response. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "000 Zero",
        "000",
        "001 X",
        "020 X",
        "099 X",
        "600 X",
        "700 X",
        "999 X",
        "20 OK",
        "2 OK",
        "2000 OK",
        "0200 OK",
        "+200 OK",
        "-20 X",
        "-200 OK",
        "+20 OK",
        " OK",
        "",
        "2x0 OK",
        "200OK",
        "20\u007f OK",
        "1000 X",
        "4294967496 OK",
        "101 Switching Protocols"
      })
  void doesNotPassOnPlainResponses(String status) throws Exception {
    AtomicInteger attempts = new AtomicInteger();
    ScriptedEndpoint.Script script = invalidOnce(status, attempts);
    try (ScriptedEndpoint one = new ScriptedEndpoint(script);
        ScriptedEndpoint two = new ScriptedEndpoint(script);
        StreamFixture fixture = new StreamFixture(CallKind.NON_IDEMPOTENT, one, two)) {
      String response = fixture.call("a");
      assertThat(response).startsWith("HTTP/1.1 502 ").doesNotContain(INVALID_BODY);
      assertThat(attempts.get()).isEqualTo(1);
    }
  }

  /** Failure: a call that may be executed twice was not sent again. */
  @ParameterizedTest
  @ValueSource(strings = {"000 Zero", "099 X", "600 X", "999 X", "20 OK", "2000 OK", "+200 OK"})
  void retriesIdempotentCalls(String status) throws Exception {
    AtomicInteger attempts = new AtomicInteger();
    ScriptedEndpoint.Script script = invalidOnce(status, attempts);
    try (ScriptedEndpoint one = new ScriptedEndpoint(script);
        ScriptedEndpoint two = new ScriptedEndpoint(script);
        StreamFixture fixture = new StreamFixture(CallKind.IDEMPOTENT, one, two)) {
      assertThat(fixture.call("a")).startsWith("HTTP/1.1 200 ").endsWith(OK_BODY);
      assertThat(attempts.get()).isEqualTo(2);
    }
  }

  /** Failure: the caller received the status if all endpoints sent it, in place of 502. */
  @ParameterizedTest
  @ValueSource(strings = {"000 Zero", "600 X", "+200 OK"})
  void rejectsIdempotentCallsWithoutValidResponse(String status) throws Exception {
    ScriptedEndpoint.Script script =
        (request, output) -> {
          writePlain(output, request, status, INVALID_BODY);
          return true;
        };
    try (ScriptedEndpoint one = new ScriptedEndpoint(script);
        ScriptedEndpoint two = new ScriptedEndpoint(script);
        StreamFixture fixture = new StreamFixture(CallKind.IDEMPOTENT, one, two)) {
      assertThat(fixture.call("a")).startsWith("HTTP/1.1 502 ").doesNotContain(INVALID_BODY);
      assertThat(one.requests.size() + two.requests.size()).isEqualTo(2);
    }
  }

  /** Failure: the stream was not begun elsewhere, and its caller received the status. */
  @ParameterizedTest
  @ValueSource(strings = {"000 Zero", "099 X", "600 X", "999 X", "20 OK", "2000 OK", "+200 OK"})
  void beginsStreamsElsewhere(String status) throws Exception {
    AtomicInteger attempts = new AtomicInteger();
    ScriptedEndpoint.Script script =
        (request, output) -> {
          boolean first = attempts.incrementAndGet() == 1;
          String[] headers = {SIGNATURE, STREAM_TYPE, CHUNKED};
          output.write(ScriptedEndpoint.head(first ? status : "200 OK", request, headers));
          output.write(ScriptedEndpoint.event(1) + ScriptedEndpoint.event(2));
          output.write(ScriptedEndpoint.lastChunk());
          return true;
        };
    try (ScriptedEndpoint one = new ScriptedEndpoint(script);
        ScriptedEndpoint two = new ScriptedEndpoint(script);
        StreamFixture fixture = new StreamFixture(one, two)) {
      String response = fixture.call("a");
      assertThat(response).startsWith("HTTP/1.1 200 ");
      assertThat(StreamFixture.eventIds(response)).containsExactly(1, 2);
      assertThat(StreamFixture.isComplete(response)).isTrue();
      assertThat(attempts.get()).isEqualTo(2);
    }
  }

  /** Failure: the events of such a response were delivered as the rest of a stream. */
  @ParameterizedTest
  @ValueSource(strings = {"000 Zero", "099 X", "600 X", "999 X", "20 OK", "2000 OK", "+200 OK"})
  void resumesStreamsElsewhere(String status) throws Exception {
    AtomicInteger attempts = new AtomicInteger();
    ScriptedEndpoint.Script script =
        (request, output) -> {
          int attempt = attempts.incrementAndGet();
          if (attempt == 1) {
            output.write(ScriptedEndpoint.streamHead(request) + ScriptedEndpoint.event(1));
            return false;
          }
          String[] headers = {SIGNATURE, STREAM_TYPE, CHUNKED};
          output.write(ScriptedEndpoint.head(attempt == 2 ? status : "200 OK", request, headers));
          output.write(ScriptedEndpoint.event(attempt == 2 ? 7 : 2));
          output.write(ScriptedEndpoint.lastChunk());
          return true;
        };
    try (ScriptedEndpoint one = new ScriptedEndpoint(script);
        ScriptedEndpoint two = new ScriptedEndpoint(script);
        ScriptedEndpoint three = new ScriptedEndpoint(script);
        StreamFixture fixture =
            new StreamFixture(3, StreamFixture.TIMEOUT_MILLIS, one, two, three)) {
      String response = fixture.call("a");
      assertThat(StreamFixture.eventIds(response)).containsExactly(1, 2);
      assertThat(StreamFixture.isComplete(response)).isTrue();
      assertThat(attempts.get()).isEqualTo(3);
    }
  }

  /** Guards against interim responses that are mistaken for final ones or for invalid ones. */
  @ParameterizedTest
  @ValueSource(strings = {"100 Continue", "102 Processing", "103 Early Hints", "199 X"})
  void skipsInterimResponses(String status) throws Exception {
    try (ScriptedEndpoint endpoint =
            new ScriptedEndpoint(
                (request, output) -> {
                  output.write("HTTP/1.1 " + status + "\r\nLink: x\r\n\r\n");
                  writePlain(output, request, "200 OK", OK_BODY);
                  return true;
                });
        StreamFixture fixture = new StreamFixture(CallKind.NON_IDEMPOTENT, endpoint)) {
      String response = fixture.call("a");
      assertThat(response).startsWith("HTTP/1.1 200 ").endsWith(OK_BODY);
    }
  }

  /** Failure: an invalid response after an interim one reached the caller. */
  @Test
  void doesNotPassOnInvalidResponsesAfterInterimOnes() throws Exception {
    try (ScriptedEndpoint endpoint =
            new ScriptedEndpoint(
                (request, output) -> {
                  output.write("HTTP/1.1 100 Continue\r\n\r\n");
                  writePlain(output, request, "000 Zero", INVALID_BODY);
                  return true;
                });
        StreamFixture fixture = new StreamFixture(CallKind.NON_IDEMPOTENT, endpoint)) {
      assertThat(fixture.call("a")).startsWith("HTTP/1.1 502 ").doesNotContain(INVALID_BODY);
    }
  }

  /** Failure: the next call went on a connection whose last response was invalid. */
  @Test
  void doesNotReuseTheConnection() throws Exception {
    AtomicInteger onConnection = new AtomicInteger();
    try (ScriptedEndpoint endpoint =
            new ScriptedEndpoint(
                (request, output) -> {
                  if (!request.get("x-id").equals("a")) {
                    writePlain(output, request, "200 OK", OK_BODY);
                    return true;
                  }
                  writePlain(output, request, "000 Zero", INVALID_BODY);
                  onConnection.incrementAndGet();
                  // Belongs to no request; a reused connection would deliver it for the next one.
                  writePlain(output, Map.of("x-id", "b"), "200 OK", "stray");
                  return true;
                });
        StreamFixture fixture = new StreamFixture(CallKind.NON_IDEMPOTENT, endpoint)) {
      List<String> responses = List.of(fixture.call("a"), fixture.call("b"));
      assertThat(responses.get(0)).startsWith("HTTP/1.1 502 ");
      // The endpoint is in backoff, and serves calls if there is no other.
      assertThat(responses.get(1)).startsWith("HTTP/1.1 200 ").endsWith(OK_BODY);
      assertThat(onConnection.get()).isEqualTo(1);
    }
  }
}
