package org.cornelchute.net.util;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.cornelchute.core.outcome.Failure;
import org.cornelchute.net.engine.EngineClient;
import org.cornelchute.net.platform.TableClient;
import org.cornelchute.net.platform.TableWrite;
import org.cornelchute.net.wire.FloodServer;
import org.cornelchute.policy.weights.Manifest;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import reactor.core.publisher.Mono;

/**
 * Servers of the product's own interfaces that send bodies without end.
 *
 * <p>Failure: whole bodies were collected, for up to minutes, until the process of the client had
 * no memory left, and with it all its other requests.
 */
@Timeout(60)
class EndlessBodyTest {

  /** Bytes that a server may send until it notices the close, mostly in socket buffers. */
  private static final long MAX_SENT_BYTES = 48L * 1_024 * 1_024;

  private static final Duration MAX_WAIT = Duration.ofSeconds(10);

  private FloodServer server;
  private EngineClient engine;
  private TableClient table;

  @BeforeEach
  void start() throws Exception {
    server = new FloodServer("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n", "a");
    engine = new EngineClient("http://" + server.address());
    table = new TableClient("http://" + server.address());
  }

  @AfterEach
  void stop() throws Exception {
    server.close();
  }

  @Test
  void endsStatusOfEngines() throws Exception {
    assertFails(engine.fetchStatus());
  }

  @Test
  void endsAnswersToLoads() throws Exception {
    byte[] chunk = new byte[8];
    assertFails(engine.load(Manifest.of("m", "1", chunk, chunk.length), 1, List.of(chunk)));
  }

  @Test
  void endsRowsOfTheTable() throws Exception {
    assertFails(table.read("rules"));
  }

  @Test
  void endsAnswersToWrites() throws Exception {
    assertFails(table.write(new TableWrite("rules", 1, "a")));
  }

  @Test
  void endsListOfVms() throws Exception {
    assertFails(table.listAddresses());
  }

  private <T> void assertFails(Mono<Either<Failure, T>> result) throws InterruptedException {
    assertThat(result.block(MAX_WAIT).isLeft()).isTrue();
    assertClosed();
  }

  private void assertClosed() throws InterruptedException {
    assertThat(server.sentBytes().poll(MAX_WAIT.toSeconds(), TimeUnit.SECONDS))
        .as("bytes sent until the client closed the connection")
        .isNotNull()
        .isLessThan(MAX_SENT_BYTES);
  }
}
