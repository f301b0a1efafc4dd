package org.cornelchute.net.wire;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.HttpMethod;
import io.vavr.control.Either;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.cornelchute.core.outcome.Failure;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Over real sockets, responses are buffered up to a size and fail beyond it. */
class SimpleHttpClientTest {

  private static final String HEAD = "HTTP/1.1 200 OK\r\n";
  private static final int MAX_BODY_BYTES = 1_048_576;
  private static final long TIMEOUT_MILLIS = 2_000;

  /** Maximum number of connections of the client to one address. */
  private static final int MAX_CONNECTIONS = 16;

  private static final long SHORT_TIMEOUT_MILLIS = 200;

  /** Bytes that a server may send until it notices the close, mostly in socket buffers. */
  private static final long MAX_SENT_BYTES = 32L * 1_024 * 1_024;

  private final BlockingQueue<Either<Failure, SimpleHttpClient.Response>> results =
      new LinkedBlockingQueue<>();
  private final MetricRegistry metrics = new MetricRegistry();
  private MultiThreadIoEventLoopGroup group;
  private SimpleHttpClient client;

  @BeforeEach
  void open() {
    group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    EventLoop loop = group.next();
    client =
        new SimpleHttpClient(
            loop,
            new WireClient(group, () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime()), metrics));
  }

  @AfterEach
  void close() {
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  /** Guards against a chunked body that is buffered until memory or time runs out. */
  @Test
  void failsOnChunkedBodiesWithoutEnd() throws Exception {
    assertRejected("Transfer-Encoding: chunked\r\n\r\n", "4\r\nmore\r\n");
  }

  /** Guards against a body without length that is buffered until memory or time runs out. */
  @Test
  void failsOnBodiesWithoutEndThatEndOnClose() throws Exception {
    assertRejected("\r\n", "more");
  }

  /** Guards against an announced length that is buffered until memory or time runs out. */
  @Test
  void failsOnBodiesOfExcessiveLength() throws Exception {
    assertRejected("Content-Length: 99999999999999\r\n\r\n", "more");
  }

  /** Guards against a limit that also rejects bodies of just the permitted size. */
  @Test
  void returnsBodiesOfTheMaximumSize() throws Exception {
    String body = "a".repeat(MAX_BODY_BYTES);
    try (FloodServer server =
        new FloodServer(HEAD + "Content-Length: " + body.length() + "\r\n\r\n" + body, "more")) {
      Either<Failure, SimpleHttpClient.Response> result = send(server);
      assertThat(result.get().body()).hasSize(MAX_BODY_BYTES);
    }
  }

  /**
   * Guards against open connections that went silent together being tried one after the other, each
   * until its timeout.
   */
  @Test
  void doesNotReuseOtherIdleConnectionsAfterOneWentSilent() throws Exception {
    int connections = 4;
    try (SilentServer server = new SilentServer(connections)) {
      for (int i = 0; i < connections; i++) {
        sendWithin(SHORT_TIMEOUT_MILLIS * 10, server.address());
      }
      for (int i = 0; i < connections; i++) {
        assertThat(results.poll(5, TimeUnit.SECONDS).isRight()).isTrue();
      }
      sendWithin(SHORT_TIMEOUT_MILLIS, server.address());
      assertThat(results.poll(5, TimeUnit.SECONDS).getLeft().code())
          .isEqualTo(Failure.Code.UNKNOWN);
      sendWithin(SHORT_TIMEOUT_MILLIS, server.address());
      assertThat(results.poll(5, TimeUnit.SECONDS).get().status()).isEqualTo(200);
    }
  }

  /**
   * Guards against a response that is sent once more and taken for that of a request whose response
   * nothing else checks.
   */
  @Test
  void sendsRequestsThatShareNoConnectionOnTheirOwn() throws Exception {
    String first = HEAD + "Content-Length: 5\r\n\r\nfirst";
    String own = "HTTP/1.1 412 Failed\r\nContent-Length: 3\r\n\r\nown";
    ScriptedServer.Script script = (connection, id) -> List.of(connection == 1 ? first : own);
    try (ScriptedServer server = new ScriptedServer(script)) {
      sendWithin(TIMEOUT_MILLIS, server.address());
      assertThat(results.poll(5, TimeUnit.SECONDS).get().body()).asString().isEqualTo("first");
      for (int i = 0; i < 2; i++) {
        sendAlone(server.address());
        assertThat(results.poll(5, TimeUnit.SECONDS).get().status()).isEqualTo(412);
      }
      assertThat(server.received)
          .extracting(ScriptedServer.Received::connection)
          .containsExactly(1, 2, 3);
    }
  }

  /** Guards against a request that fails since idle connections take up the limit. */
  @Test
  void closesIdleConnectionsForRequestsThatShareNone() throws Exception {
    try (SilentServer server = new SilentServer(MAX_CONNECTIONS)) {
      for (int i = 0; i < MAX_CONNECTIONS; i++) {
        sendWithin(SHORT_TIMEOUT_MILLIS * 10, server.address());
      }
      for (int i = 0; i < MAX_CONNECTIONS; i++) {
        assertThat(results.poll(5, TimeUnit.SECONDS).isRight()).isTrue();
      }
      sendAlone(server.address());
      assertThat(results.poll(5, TimeUnit.SECONDS).get().status()).isEqualTo(200);
    }
  }

  /**
   * Failure: a response with a status that is none was returned as a complete one, so that a write
   * to the store with unknown outcome counted as rejected.
   */
  @ParameterizedTest
  @ValueSource(
      strings = {"000 X", "099 X", "600 X", "999 X", "20 OK", "2000 OK", "+200 OK", "-20 X", " OK"})
  void failsOnInvalidStatuses(String status) throws Exception {
    String invalid = "HTTP/1.1 " + status + "\r\nContent-Length: 2\r\n\r\n{}";
    String valid = HEAD + "Content-Length: 2\r\n\r\n{}";
    ScriptedServer.Script script = (connection, id) -> List.of(connection == 1 ? invalid : valid);
    try (ScriptedServer server = new ScriptedServer(script)) {
      sendWithin(TIMEOUT_MILLIS, server.address());
      assertThat(results.poll(5, TimeUnit.SECONDS).getLeft().code())
          .isEqualTo(Failure.Code.UNKNOWN);
      sendWithin(TIMEOUT_MILLIS, server.address());
      assertThat(results.poll(5, TimeUnit.SECONDS).get().status()).isEqualTo(200);
      assertThat(metrics.meter("server.faults").getCount()).isEqualTo(1);
    }
  }

  private void sendAlone(String address) {
    SimpleHttpRequest request =
        new SimpleHttpRequest(
            address, HttpMethod.POST, "/", new byte[] {1}, TIMEOUT_MILLIS, MAX_BODY_BYTES, false);
    group.execute(() -> client.send(request, results::add));
  }

  private void assertRejected(String head, String pattern) throws Exception {
    try (FloodServer server = new FloodServer(HEAD + head, pattern)) {
      Either<Failure, SimpleHttpClient.Response> result = send(server);
      assertThat(result.getLeft().code()).isEqualTo(Failure.Code.UNKNOWN);
      assertThat(result.getLeft().message()).contains(MAX_BODY_BYTES + " bytes");
      assertThat(server.sentBytes().poll(5, TimeUnit.SECONDS))
          .isNotNull()
          .isLessThan(MAX_SENT_BYTES);
      assertThat(metrics.meter("server.faults").getCount()).isEqualTo(1);
    }
  }

  private Either<Failure, SimpleHttpClient.Response> send(FloodServer server)
      throws InterruptedException {
    sendWithin(TIMEOUT_MILLIS, server.address());
    Either<Failure, SimpleHttpClient.Response> result = results.poll(5, TimeUnit.SECONDS);
    assertThat(result).isNotNull();
    return result;
  }

  private void sendWithin(long timeoutMillis, String address) {
    SimpleHttpRequest request =
        new SimpleHttpRequest(
            address, HttpMethod.GET, "/", new byte[0], timeoutMillis, MAX_BODY_BYTES);
    group.execute(() -> client.send(request, results::add));
  }
}
