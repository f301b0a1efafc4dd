package org.cornelchute.entry.direct;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.cornelchute.policy.forward.CallKind;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Endpoints that close the connection inside the head of their response, at each of its bytes. What
 * was received of it must not become a response that looks complete.
 */
@Timeout(60)
class CutHeadTest {

  private static final String SIGNATURE = "x-signature: signed";

  /** Returns heads of plain responses; the last two have a body of unknown length. */
  static Stream<List<String>> plainHeads() {
    return Stream.of(
        List.of(SIGNATURE, "Content-Length: 80"),
        List.of("Content-Length: 80", SIGNATURE),
        List.of(SIGNATURE, "Transfer-Encoding: chunked"),
        List.of(SIGNATURE, "Connection: close"),
        List.of(SIGNATURE));
  }

  /** Returns the id of a call whose response is cut after a number of bytes. */
  private static String idOf(int bytes) {
    return "cut-" + bytes;
  }

  private static int cutOf(Map<String, String> request) {
    return Integer.parseInt(request.get("x-id").substring("cut-".length()));
  }

  private static ScriptedEndpoint cutting(String... headers) throws IOException {
    return new ScriptedEndpoint(
        (request, output) -> {
          String head = ScriptedEndpoint.head("200 OK", request, headers);
          output.write(head.substring(0, Math.min(head.length(), cutOf(request))));
          return false;
        });
  }

  /** Returns the length of the head of the response to a call, which contains its id. */
  private static int lengthOf(int cut, String... headers) {
    return ScriptedEndpoint.head("200 OK", Map.of("x-id", idOf(cut)), headers).length();
  }

  @ParameterizedTest
  @MethodSource("plainHeads")
  void doesNotPassOnPlainResponses(List<String> fields) throws Exception {
    String[] headers = fields.toArray(String[]::new);
    for (CallKind kind : List.of(CallKind.NON_IDEMPOTENT, CallKind.IDEMPOTENT)) {
      try (ScriptedEndpoint endpoint = cutting(headers);
          StreamFixture fixture = new StreamFixture(kind, endpoint)) {
        // A complete head without a body is cut too.
        for (int cut = 0; cut <= lengthOf(cut, headers); cut++) {
          assertThat(fixture.call(idOf(cut)))
              .as("cut after %d bytes", cut)
              .startsWith("HTTP/1.1 5");
        }
      }
    }
  }

  @Test
  void doesNotPassOnStreams() throws Exception {
    String[] headers = {SIGNATURE, "Content-Type: text/event-stream", "Transfer-Encoding: chunked"};
    try (ScriptedEndpoint endpoint = cutting(headers);
        StreamFixture fixture = new StreamFixture(endpoint)) {
      // A complete head without an event is cut too.
      for (int cut = 0; cut <= lengthOf(cut, headers); cut++) {
        String response = fixture.call(idOf(cut));
        assertThat(StreamFixture.isComplete(response)).as("cut after %d bytes", cut).isFalse();
      }
    }
  }

  @Test
  void doesNotEndStreamsOfUnknownLengthAfterTheirHeads() throws Exception {
    String[] headers = {SIGNATURE, "Content-Type: text/event-stream"};
    try (ScriptedEndpoint endpoint = cutting(headers);
        StreamFixture fixture = new StreamFixture(endpoint)) {
      for (int cut = 0; cut <= lengthOf(cut, headers); cut++) {
        String response = fixture.call(idOf(cut));
        assertThat(StreamFixture.isComplete(response)).as("cut after %d bytes", cut).isFalse();
      }
    }
  }

  @Test
  void doesNotEndStreamsThatAreResumed() throws Exception {
    String[] headers = {SIGNATURE, "Content-Type: text/event-stream", "Transfer-Encoding: chunked"};
    ScriptedEndpoint.Script script =
        (request, output) -> {
          if (request.containsKey("last-event-id")) {
            String head = ScriptedEndpoint.head("200 OK", request, headers);
            output.write(head.substring(0, Math.min(head.length(), cutOf(request))));
          } else {
            output.write(ScriptedEndpoint.streamHead(request) + ScriptedEndpoint.event(1));
          }
          return false;
        };
    try (ScriptedEndpoint one = new ScriptedEndpoint(script);
        ScriptedEndpoint two = new ScriptedEndpoint(script);
        StreamFixture fixture = new StreamFixture(one, two)) {
      for (int cut = 0; cut <= lengthOf(cut, headers); cut++) {
        String response = fixture.call(idOf(cut));
        assertThat(StreamFixture.eventIds(response)).as("cut after %d bytes", cut).hasSize(1);
        assertThat(StreamFixture.isComplete(response)).as("cut after %d bytes", cut).isFalse();
      }
    }
  }
}
