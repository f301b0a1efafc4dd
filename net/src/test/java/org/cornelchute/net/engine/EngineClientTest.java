package org.cornelchute.net.engine;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.cornelchute.core.message.ServingMessage.Dispatch;
import org.cornelchute.core.model.Generation;
import org.cornelchute.core.outcome.Failure;
import org.cornelchute.net.wire.FloodServer;
import org.cornelchute.net.wire.ScriptedServer;
import org.cornelchute.policy.weights.Manifest;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Over real sockets, an engine that sends a response once more on a connection that stays open. */
@Timeout(30)
class EngineClientTest {

  private static final String REFUSAL = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n";
  private static final String LOADED = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
  private static final String FENCED = "HTTP/1.1 409 Conflict\r\nContent-Length: 2\r\n\r\n{}";
  private static final Manifest MANIFEST = Manifest.of("m", "2", new byte[8], 4);

  /** Bytes that a server may send until it notices the close, mostly in socket buffers. */
  private static final long MAX_SENT_BYTES = 48L * 1_024 * 1_024;

  private final BlockingQueue<String> results = new LinkedBlockingQueue<>();

  /**
   * Failure: an earlier refusal was read as that of a request that the engine ran, and the request
   * was reported as not run.
   */
  @Test
  void takesNoRepeatedRefusalForOtherRequests() throws Exception {
    try (ScriptedServer server = new ScriptedServer(EngineClientTest::refusesThenRepeats)) {
      EngineClient client = new EngineClient("http://" + server.address());
      assertThat(forward(client, "a")).isEqualTo("503 end");
      assertThat(forward(client, "b")).isEqualTo("200 end");
      assertThat(forward(client, "c")).isEqualTo("200 end");
    }
  }

  /** Guards against a refusal that names another request being believed for this one. */
  @Test
  void failsOnAnswersToOtherRequests() throws Exception {
    String other = "HTTP/1.1 503 Busy\r\nX-Request-Id: z\r\nContent-Length: 0\r\n\r\n";
    try (ScriptedServer server = new ScriptedServer((connection, id) -> List.of(other))) {
      EngineClient client = new EngineClient("http://" + server.address());
      assertThat(forward(client, "a")).isEqualTo("failed notRun=false");
    }
  }

  /** Guards against the answer to another request that is read as that to a load. */
  @Test
  void takesNoRepeatedAnswerForThatToLoads() throws Exception {
    ScriptedServer.Script script = (connection, id) -> List.of(connection == 1 ? LOADED : FENCED);
    try (ScriptedServer server = new ScriptedServer(script)) {
      EngineClient client = new EngineClient("http://" + server.address());
      client.fetchStatus().block();
      for (int i = 0; i < 2; i++) {
        assertThat(client.load(MANIFEST, 1, List.of(new byte[8])).block().getLeft().message())
            .contains("fencing number");
      }
      assertThat(server.received)
          .extracting(ScriptedServer.Received::connection)
          .containsExactly(1, 2, 3);
    }
  }

  /**
   * Failure: an answer without end was passed on part by part, faster than entries take it, until
   * the process of the agent had no memory left.
   */
  @Test
  void endsAnswersWithoutEnd() throws Exception {
    String head = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n";
    try (FloodServer server = new FloodServer(head, "a")) {
      EngineClient client = new EngineClient("http://" + server.address());
      assertThat(forward(client, "a")).isEqualTo("200 failed notRun=false");
      assertThat(server.sentBytes().poll(10, TimeUnit.SECONDS))
          .isNotNull()
          .isLessThan(MAX_SENT_BYTES);
    }
  }

  /** Failure: a status that is none was passed on to the entry, and from there to the caller. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "000 X",
        "001 X",
        "099 X",
        "600 X",
        "999 X",
        "20 OK",
        "2000 OK",
        "+200 OK",
        "0200 OK",
        "-20 X",
        " OK",
        "101 Switching Protocols"
      })
  void failsOnInvalidStatuses(String status) throws Exception {
    String invalid = "HTTP/1.1 " + status + "\r\nContent-Length: 2\r\n\r\nno";
    try (ScriptedServer server = new ScriptedServer((connection, id) -> List.of(invalid))) {
      EngineClient client = new EngineClient("http://" + server.address());
      assertThat(forward(client, "a")).isEqualTo("failed notRun=false");
      assertThat(client.load(MANIFEST, 1, List.of(new byte[8])).block().getLeft().code())
          .isEqualTo(Failure.Code.UNKNOWN);
    }
  }

  /** Failure: the state of an engine was accepted from a response with an invalid status. */
  @ParameterizedTest
  @ValueSource(strings = {"000 X", "600 X", "999 X", "+200 OK"})
  void believesNoStateOfInvalidResponses(String status) throws Exception {
    String invalid = "HTTP/1.1 " + status + "\r\nContent-Length: 2\r\n\r\n{}";
    try (ScriptedServer server = new ScriptedServer((connection, id) -> List.of(invalid))) {
      EngineClient client = new EngineClient("http://" + server.address());
      assertThat(client.fetchStatus().block().isLeft()).isTrue();
    }
  }

  /** Guards against interim responses that are mistaken for final ones. */
  @ParameterizedTest
  @ValueSource(strings = {"100 Continue", "102 Processing", "103 Early Hints"})
  void skipsInterimResponses(String status) throws Exception {
    String answer = "HTTP/1.1 " + status + "\r\n\r\n" + LOADED;
    try (ScriptedServer server = new ScriptedServer((connection, id) -> List.of(answer))) {
      EngineClient client = new EngineClient("http://" + server.address());
      assertThat(forward(client, "a")).isEqualTo("200 end");
    }
  }

  /** Guards against a response to HEAD whose end is awaited as long as its head states. */
  @Test
  void endsResponsesToHeadAfterTheirHeads() throws Exception {
    String head = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n";
    try (ScriptedServer server = new ScriptedServer((connection, id) -> List.of(head))) {
      EngineClient client = new EngineClient("http://" + server.address());
      client.forward(dispatch("a", "HEAD"), new Recorder());
      assertThat(results.poll(10, TimeUnit.SECONDS)).isEqualTo("200 end");
    }
  }

  /** Refuses the first request; before all others on its connection, repeats the refusal. */
  private static List<String> refusesThenRepeats(int connection, String id) {
    if (id.equals("a")) {
      return List.of(REFUSAL);
    }
    String own = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    return connection == 1 ? List.of(REFUSAL, own) : List.of(own);
  }

  private String forward(EngineClient client, String id) throws InterruptedException {
    client.forward(dispatch(id, "POST"), new Recorder());
    return results.poll(10, TimeUnit.SECONDS);
  }

  private static Dispatch dispatch(String id, String method) {
    return new Dispatch(
        id,
        1,
        1,
        Generation.NONE,
        "a",
        10,
        0,
        10,
        false,
        false,
        0,
        60_000,
        method,
        "/",
        "",
        new byte[] {1, 2});
  }

  private final class Recorder implements EngineClient.AnswerListener {

    private String head = "";

    @Override
    public void onHead(int status, String contentType, String manifest) {
      head = status + " ";
    }

    @Override
    public void onPart(byte[] bytes) {}

    @Override
    public void onEnd() {
      results.add(head + "end");
    }

    @Override
    public void onFailure(boolean notRun) {
      results.add(head + "failed notRun=" + notRun);
    }
  }
}
