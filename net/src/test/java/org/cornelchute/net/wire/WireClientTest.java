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
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Over real sockets, late, malformed, truncated and missing responses must be neither taken for the
 * response of another request nor reported as certainly not sent.
 */
class WireClientTest {

  private static final String CORRELATION_HEADER = "x-id";
  private static final String COMPLETE_RESPONSE =
      "HTTP/1.1 200 OK\r\nx-id: %s\r\nContent-Length: 2\r\n\r\nok";

  private final BlockingQueue<String> results = new LinkedBlockingQueue<>();
  private final BlockingQueue<String> replies = new LinkedBlockingQueue<>();
  private MultiThreadIoEventLoopGroup group;
  private WireClient client;
  private ServerSocket server;

  @BeforeEach
  void open() throws IOException {
    group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    client =
        new WireClient(
            group, () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime()), new MetricRegistry());
    server = new ServerSocket(0, 16, InetAddress.getLoopbackAddress());
    Thread thread = new Thread(this::serve);
    thread.setDaemon(true);
    thread.start();
  }

  @AfterEach
  void close() throws IOException {
    server.close();
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  @Test
  void reportsNothingSentWhenTheConnectFails() throws Exception {
    server.close();
    assertThat(send("a")).startsWith("failed sent=false");
  }

  @Test
  void reportsPossiblySentWhenTheConnectionClosesWithoutResponse() throws Exception {
    replies.add("close");
    assertThat(send("a")).startsWith("failed sent=true");
  }

  @Test
  void skipsTheResponseToAnEarlierRequest() throws Exception {
    replies.add(String.format(COMPLETE_RESPONSE, "a") + String.format(COMPLETE_RESPONSE, "b"));
    assertThat(send("b")).isEqualTo("end ok");
  }

  @Test
  void doesNotReuseConnectionsWithUnsolicitedBytes() throws Exception {
    replies.add(String.format(COMPLETE_RESPONSE, "a") + String.format(COMPLETE_RESPONSE, "a"));
    assertThat(send("a")).isEqualTo("end ok");
    replies.add(String.format(COMPLETE_RESPONSE, "c"));
    assertThat(send("c")).isEqualTo("end ok");
  }

  /**
   * Guards against a response taken for garbage because bytes after the response before were still
   * in the decoder.
   */
  @Test
  void doesNotReuseConnectionsWithBytesThatAreNoResponse() throws Exception {
    replies.add(String.format(COMPLETE_RESPONSE, "a") + "no answer");
    assertThat(send("a")).isEqualTo("end ok");
    replies.add(String.format(COMPLETE_RESPONSE, "c"));
    assertThat(send("c")).isEqualTo("end ok");
  }

  /** Guards against waiting for a body that responses to HEAD requests announce but do not have. */
  @Test
  void readsResponsesToHeadRequests() throws Exception {
    replies.add("HTTP/1.1 200 OK\r\nx-id: a\r\nContent-Length: 9\r\n\r\n");
    assertThat(send(HttpMethod.HEAD, "a")).isEqualTo("end ");
    replies.add(String.format(COMPLETE_RESPONSE, "b"));
    assertThat(send("b")).isEqualTo("end ok");
  }

  @Test
  void reportsTruncatedResponsesAsFailures() throws Exception {
    replies.add("HTTP/1.1 200 OK\r\nx-id: a\r\nContent-Length: 9\r\n\r\nokclose");
    assertThat(send("a")).startsWith("failed sent=true");
  }

  @Test
  void reportsMalformedResponsesAsFailures() throws Exception {
    replies.add("garbage garbage\r\n\r\n");
    assertThat(send("a")).startsWith("failed sent=true");
  }

  @Test
  void readsResponsesThatEndWhenTheConnectionCloses() throws Exception {
    replies.add("HTTP/1.1 200 OK\r\nx-id: a\r\n\r\nokclose");
    assertThat(send("a")).isEqualTo("end ok");
  }

  private String send(String id) throws InterruptedException {
    return send(HttpMethod.GET, id);
  }

  private String send(HttpMethod method, String id) throws InterruptedException {
    FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method, "/");
    request.headers().set(CORRELATION_HEADER, id);
    String address = "127.0.0.1:" + server.getLocalPort();
    group.execute(
        () ->
            client.send(
                new WireRequest(address, request, CORRELATION_HEADER, 4, 1_000, 10_000),
                new Recorder()));
    return results.poll(5, TimeUnit.SECONDS);
  }

  /** Sends the next reply to each request; a reply that ends in "close" closes the connection. */
  private void serve() {
    while (!server.isClosed()) {
      try {
        Socket socket = server.accept();
        Thread thread = new Thread(() -> respond(socket));
        thread.setDaemon(true);
        thread.start();
      } catch (IOException e) {
        return;
      }
    }
  }

  private void respond(Socket accepted) {
    try (Socket socket = accepted) {
      InputStream in = socket.getInputStream();
      int newlines = 0;
      for (int b = in.read(); b >= 0; b = in.read()) {
        newlines = b == '\n' ? newlines + 1 : b == '\r' ? newlines : 0;
        if (newlines == 2) {
          String reply = replies.take();
          boolean close = reply.endsWith("close");
          String text = close ? reply.substring(0, reply.length() - "close".length()) : reply;
          socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
          if (close) {
            return;
          }
        }
      }
    } catch (IOException | InterruptedException e) {
      results.add("server " + e);
    }
  }

  private final class Recorder implements WireListener {
    private final StringBuilder body = new StringBuilder();

    @Override
    public void onHead(HttpResponse head) {}

    @Override
    public void onContent(ByteBuf bytes) {
      body.append(bytes.toString(StandardCharsets.US_ASCII));
    }

    @Override
    public void onEnd() {
      results.add("end " + body);
    }

    @Override
    public void onFailure(boolean possiblySent, String reason) {
      results.add("failed sent=" + possiblySent + " " + reason);
    }
  }
}
