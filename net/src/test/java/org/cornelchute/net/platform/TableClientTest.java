package org.cornelchute.net.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.cornelchute.core.outcome.Failure;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
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
    server.disposeNow();
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

  @Test
  void reportsAnswerThatIsNotJsonAsUnknown() {
    TableClient client = clientAnswering(200, "nonsense");
    assertThat(client.write(new TableWrite("x", 0, "v")).block().getLeft().code())
        .isEqualTo(Failure.Code.UNKNOWN);
  }
}
