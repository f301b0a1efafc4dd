package org.cornelchute.net.wire;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import io.netty.buffer.ByteBuf;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Over real sockets, bytes that come without end must end their exchange and their connection. */
class WireFloodTest {

  private static final String CORRELATION_HEADER = "x-id";
  private static final String HEAD = "HTTP/1.1 200 OK\r\nx-id: a\r\n";
  private static final String CHUNKED_HEAD = HEAD + "Transfer-Encoding: chunked\r\n\r\n";

  /** Bytes that a server may send until it notices the close, mostly in socket buffers. */
  private static final long MAX_SENT_BYTES = 32L * 1_024 * 1_024;

  private final BlockingQueue<String> results = new LinkedBlockingQueue<>();
  private final MetricRegistry metrics = new MetricRegistry();
  private MultiThreadIoEventLoopGroup group;
  private WireClient client;

  @BeforeEach
  void open() {
    group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    client = new WireClient(group, () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime()), metrics);
  }

  @AfterEach
  void close() {
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  /** Guards against a status line that is buffered without bound. */
  @Test
  void endsStatusLinesWithoutEnd() throws Exception {
    assertRejected("HTTP/1.1 200 ", "a");
  }

  /** Guards against a header line that is buffered without bound. */
  @Test
  void endsHeaderLinesWithoutEnd() throws Exception {
    assertRejected("HTTP/1.1 200 OK\r\nx-id: ", "a");
  }

  /** Guards against headers that are buffered without bound. */
  @Test
  void endsHeadersWithoutEnd() throws Exception {
    assertRejected("HTTP/1.1 200 OK\r\n", "x-more: a\r\n");
  }

  /** Guards against text before a status line that is read until the call expires. */
  @Test
  void endsTextBeforeTheStatusLine() throws Exception {
    assertRejected("", "no answer\n");
  }

  /** Guards against blank lines before a status line that are read until the call expires. */
  @Test
  void endsBlankLinesBeforeTheStatusLine() throws Exception {
    assertRejected("", "\r\n");
  }

  /** Guards against informational responses that are skipped until the call expires. */
  @Test
  void endsInformationalResponsesWithoutEnd() throws Exception {
    assertRejected("", "HTTP/1.1 102 Processing\r\n\r\n");
  }

  /** Guards against responses to other requests that are skipped until the call expires. */
  @Test
  void endsResponsesToOtherRequestsWithoutEnd() throws Exception {
    assertRejected("", "HTTP/1.1 200 OK\r\nx-id: other\r\nContent-Length: 2\r\n\r\nno");
  }

  /** Guards against a body of another request's response that is skipped until the call expires. */
  @Test
  void endsTheBodyOfAnotherResponseWithoutEnd() throws Exception {
    assertRejected("HTTP/1.1 200 OK\r\nx-id: other\r\n\r\n", "no");
  }

  /** Guards against a chunk size line that is buffered without bound. */
  @Test
  void endsChunkSizeLinesWithoutEnd() throws Exception {
    assertRejected(CHUNKED_HEAD + "2;", "a");
  }

  /** Guards against trailers that are buffered without bound. */
  @Test
  void endsTrailersWithoutEnd() throws Exception {
    assertRejected(CHUNKED_HEAD + "2\r\nok\r\n0\r\n", "x-more: a\r\n");
  }

  /** Guards against an idle connection that stays open although bytes arrive on it. */
  @Test
  void closesIdleConnectionsOnBlankLines() throws Exception {
    assertClosedAfterResponse("\r\n");
  }

  /** Guards against an idle connection that stays open although bytes arrive on it. */
  @Test
  void closesIdleConnectionsOnText() throws Exception {
    assertClosedAfterResponse("no answer");
  }

  private void assertRejected(String prefix, String pattern) throws Exception {
    try (FloodServer server = new FloodServer(prefix, pattern)) {
      send(server);
      assertThat(results.poll(5, TimeUnit.SECONDS)).isNotNull().startsWith("failed sent=true");
      assertClosed(server);
    }
  }

  private void assertClosedAfterResponse(String pattern) throws Exception {
    String response = HEAD + "Content-Length: 2\r\n\r\nok";
    try (FloodServer server = new FloodServer(response, pattern)) {
      send(server);
      assertThat(results.poll(5, TimeUnit.SECONDS)).isEqualTo("end");
      assertClosed(server);
    }
  }

  private void assertClosed(FloodServer server) throws InterruptedException {
    assertThat(server.sentBytes().poll(5, TimeUnit.SECONDS)).isNotNull().isLessThan(MAX_SENT_BYTES);
    assertThat(metrics.meter("server.faults").getCount()).isEqualTo(1);
  }

  private void send(FloodServer server) {
    FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/");
    request.headers().set(CORRELATION_HEADER, "a");
    group.execute(
        () ->
            client.send(
                new WireRequest(server.address(), request, CORRELATION_HEADER, 4, 1_000, 10_000),
                new Recorder()));
  }

  private final class Recorder implements WireListener {

    @Override
    public void onHead(HttpResponse head) {}

    @Override
    public void onContent(ByteBuf bytes) {}

    @Override
    public void onEnd() {
      results.add("end");
    }

    @Override
    public void onFailure(boolean possiblySent, String reason) {
      results.add("failed sent=" + possiblySent + " " + reason);
    }
  }
}
