package org.cornelchute.net.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.cornelchute.core.outcome.Failure;
import org.cornelchute.net.wire.ScriptedServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;

class TableClientTest {

  private DisposableServer server;

  private TableClient clientAnswering(int status, String body) {
    server =
        HttpServer.create()
            .host("127.0.0.1")
            .handle((q, r) -> r.status(status).sendString(Mono.just(body)))
            .bindNow();
    return new TableClient("http://127.0.0.1:" + server.port());
  }

  @AfterEach
  void stop() {
    if (server != null) {
      server.disposeNow();
    }
  }

  @Test
  void reportsErrorStatusAsUnavailable() {
    TableClient client = clientAnswering(503, "{\"error\":\"out of service\"}");
    assertThat(client.listAddresses().block().getLeft().code()).isEqualTo(Failure.Code.UNAVAILABLE);
    assertThat(client.read("x").block().getLeft().code()).isEqualTo(Failure.Code.UNAVAILABLE);
    assertThat(client.write(new TableWrite("x", 0, "v")).block().getLeft().code())
        .isEqualTo(Failure.Code.UNAVAILABLE);
  }

  @Test
  void skipsMalformedAddresses() {
    TableClient client =
        clientAnswering(200, "[{\"address\":\"\"},{\"address\":\"10.0.0.1:80\"},{}]");
    assertThat(client.listAddresses().block().get()).isEqualTo(List.of("10.0.0.1:80"));
  }

  @Test
  void reportsConflict() {
    TableClient client = clientAnswering(409, "{}");
    assertThat(client.write(new TableWrite("x", 0, "v")).block().getLeft().code())
        .isEqualTo(Failure.Code.CONFLICT);
  }

  /** Failure: a write whose outcome is unknown counted as certainly not done. */
  @ParameterizedTest
  @ValueSource(strings = {"000 X", "600 X", "20 OK", "+200 OK"})
  void reportsInvalidStatusesAsUnknown(String status) throws Exception {
    String answer = jsonAnswer(status, "{\"versions\":[4]}");
    try (ScriptedServer scripted = new ScriptedServer((connection, id) -> List.of(answer))) {
      TableClient client = new TableClient("http://" + scripted.address());
      assertThat(client.write(new TableWrite("x", 3, "w")).block().getLeft().code())
          .isEqualTo(Failure.Code.UNKNOWN);
      assertThat(client.read("x").block().getLeft().code()).isEqualTo(Failure.Code.UNKNOWN);
    }
  }

  /** Guards against an earlier answer, sent once more, that is read as that to a write. */
  @Test
  void takesNoRepeatedAnswerForThatToWrites() throws Exception {
    String row = jsonAnswer("200 OK", "{\"value\":\"v\",\"version\":3}");
    String own = jsonAnswer("409 Conflict", "{}");
    try (ScriptedServer scripted =
        new ScriptedServer((connection, id) -> List.of(connection == 1 ? row : own))) {
      TableClient client = new TableClient("http://" + scripted.address());
      assertThat(client.read("x").block().get().get().version()).isEqualTo(3);
      for (int i = 0; i < 2; i++) {
        assertThat(client.write(new TableWrite("x", 3, "w")).block().getLeft().code())
            .isEqualTo(Failure.Code.CONFLICT);
      }
      assertThat(scripted.received)
          .extracting(ScriptedServer.Received::connection)
          .containsExactly(1, 2, 3);
    }
  }

  /** Guards against a write whose outcome is never reported. */
  @ParameterizedTest
  @ValueSource(strings = {"{}", "{\"versions\":[]}", "{\"versions\":[1,2]}", "[]", "7", ""})
  void reportsAnswersWithoutOneVersionForEachWriteAsUnknown(String body) {
    TableClient client = clientAnswering(200, body);
    assertThat(client.write(new TableWrite("x", 0, "v")).block().getLeft().code())
        .isEqualTo(Failure.Code.UNKNOWN);
  }

  private static String jsonAnswer(String status, String body) {
    return "HTTP/1.1 " + status + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
  }

  @Test
  void reportsAnswerThatIsNotJsonAsUnknown() {
    TableClient client = clientAnswering(200, "nonsense");
    assertThat(client.write(new TableWrite("x", 0, "v")).block().getLeft().code())
        .isEqualTo(Failure.Code.UNKNOWN);
  }
}
