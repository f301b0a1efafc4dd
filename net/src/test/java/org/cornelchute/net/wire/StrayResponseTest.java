package org.cornelchute.net.wire;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Over real sockets, a response that no request waits for, at every moment and in every form. It
 * must never be taken for the response of a request, and its connection carries no later request.
 */
@Timeout(30)
class StrayResponseTest {

  private static final String CORRELATION_HEADER = "x-id";
  private static final int REFUSED = 503;

  /** Larger than the socket buffers of both sides together. */
  private static final int LONG_BODY_BYTES = 64 * 1_024 * 1_024;

  private final BlockingQueue<String> results = new LinkedBlockingQueue<>();
  private final MetricRegistry metrics = new MetricRegistry();
  private MultiThreadIoEventLoopGroup group;
  private WireClient client;

  /** The form of the response that belongs to no request, by its name and its bytes. */
  enum Stray {
    REFUSAL_OF_EARLIER(true, "HTTP/1.1 503 No\r\nx-id: a\r\nContent-Length: 0\r\n\r\n"),
    REFUSAL_OF_EARLIER_WITH_BODY(true, "HTTP/1.1 503 No\r\nx-id: a\r\nContent-Length: 2\r\n\r\nno"),
    REFUSAL_OF_EARLIER_IN_CHUNKS(
        true,
        "HTTP/1.1 503 No\r\nx-id: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nno\r\n0\r\n\r\n"),
    REFUSAL_OF_EARLIER_THEN_CONTINUE(
        true,
        "HTTP/1.1 503 No\r\nx-id: a\r\nContent-Length: 0\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n"),
    SUCCESS_OF_EARLIER(true, "HTTP/1.1 200 OK\r\nx-id: a\r\nContent-Length: 2\r\n\r\nno"),
    REFUSAL_OF_EARLIER_IN_CHUNKS_WITHOUT_END(
        false, "HTTP/1.1 503 No\r\nx-id: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nno\r\n"),
    REFUSAL_OF_EARLIER_WITHOUT_LENGTH(false, "HTTP/1.1 503 No\r\nx-id: a\r\n\r\nno"),
    REFUSAL_WITHOUT_ID(false, "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n"),
    REFUSAL_WITH_EMPTY_ID(false, "HTTP/1.1 503 No\r\nx-id:\r\nContent-Length: 0\r\n\r\n"),
    REFUSAL_WITH_TWO_IDS(
        false, "HTTP/1.1 503 No\r\nx-id: b\r\nx-id: a\r\nContent-Length: 0\r\n\r\n"),
    SUCCESS_WITHOUT_ID(false, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno"),
    OTHER_PROTOCOL(false, "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n");

    /** Whether the response that follows can be identified as that of request b. */
    private final boolean identified;

    private final String bytes;

    Stray(boolean identified, String bytes) {
      this.identified = identified;
      this.bytes = bytes;
    }
  }

  /** When the server sends the response that belongs to no request. */
  enum Moment {
    ON_ACCEPT,
    IN_ONE_PACKET_WITH_THE_RESPONSE_BEFORE,
    WHILE_IDLE,
    IN_ONE_PACKET_BEFORE_THE_RESPONSE,
    IN_A_PACKET_BEFORE_THE_RESPONSE,
    IN_ONE_PACKET_AFTER_THE_RESPONSE,
    IN_A_PACKET_AFTER_THE_RESPONSE;

    boolean isDuringRequest() {
      return this == ON_ACCEPT
          || this == IN_ONE_PACKET_BEFORE_THE_RESPONSE
          || this == IN_A_PACKET_BEFORE_THE_RESPONSE;
    }
  }

  static Stream<Arguments> straysAndMoments() {
    return Stream.of(Stray.values())
        .flatMap(stray -> Stream.of(Moment.values()).map(moment -> Arguments.of(stray, moment)));
  }

  @BeforeEach
  void open() {
    group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    client = new WireClient(group, () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime()), metrics);
  }

  @AfterEach
  void close() {
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  /**
   * Guards against the refusal of another request that is taken for the refusal of one that the
   * server runs, and against a later request on the connection of such a response.
   */
  @ParameterizedTest
  @MethodSource("straysAndMoments")
  void neverTakesStrayResponsesForTheResponse(Stray stray, Moment moment) throws Exception {
    try (ScriptedServer server = new ScriptedServer(script(stray, moment))) {
      if (moment == Moment.ON_ACCEPT) {
        assertThat(send(server, "b")).isEqualTo(expectedDuringRequest(stray));
        assertThat(send(server, "c")).isEqualTo("200 ok-c");
      } else {
        assertThat(send(server, "a")).isEqualTo("200 ok-a");
        TimeUnit.MILLISECONDS.sleep(moment == Moment.WHILE_IDLE ? 120 : 0);
        assertThat(send(server, "b"))
            .isEqualTo(moment.isDuringRequest() ? expectedDuringRequest(stray) : "200 ok-b");
        TimeUnit.MILLISECONDS.sleep(120);
        assertThat(send(server, "c")).isEqualTo("200 ok-c");
      }
      assertThat(server.connectionOf("c")).isNotEqualTo(1);
      assertThat(server.received.stream().filter(r -> r.id().equals("b"))).hasSize(1);
      assertThat(metrics.meter("server.faults").getCount()).isEqualTo(1);
    }
  }

  /** Returns the result of request b if the response that is none of its own comes before it. */
  private static String expectedDuringRequest(Stray stray) {
    return stray.identified ? "200 ok-b" : "failed sent=true";
  }

  private static ScriptedServer.Script script(Stray stray, Moment moment) {
    return new ScriptedServer.Script() {
      @Override
      public List<String> onAccept(int connection) {
        return connection == 1 && moment == Moment.ON_ACCEPT ? List.of(stray.bytes) : List.of();
      }

      @Override
      public List<String> answer(int connection, String id) {
        String own = response(id);
        if (connection != 1 || moment == Moment.ON_ACCEPT) {
          return List.of(own);
        }
        if (id.equals("a")) {
          return switch (moment) {
            case IN_ONE_PACKET_WITH_THE_RESPONSE_BEFORE -> List.of(own + stray.bytes);
            case WHILE_IDLE -> List.of(own, stray.bytes);
            default -> List.of(own);
          };
        }
        return switch (moment) {
          case IN_ONE_PACKET_BEFORE_THE_RESPONSE -> List.of(stray.bytes + own);
          case IN_A_PACKET_BEFORE_THE_RESPONSE -> List.of(stray.bytes, own);
          case IN_ONE_PACKET_AFTER_THE_RESPONSE -> List.of(own + stray.bytes);
          case IN_A_PACKET_AFTER_THE_RESPONSE -> List.of(own, stray.bytes);
          default -> List.of(own);
        };
      }
    };
  }

  /** Guards against bytes after the last chunk of a response that are read with the next one. */
  @ParameterizedTest
  @EnumSource(
      value = Moment.class,
      names = {"IN_ONE_PACKET_AFTER_THE_RESPONSE", "IN_A_PACKET_AFTER_THE_RESPONSE"})
  void closesConnectionsAfterResponsesInChunksThatComeTwice(Moment moment) throws Exception {
    String body =
        "HTTP/1.1 200 OK\r\nx-id: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n";
    ScriptedServer.Script script =
        (connection, id) ->
            id.equals("a")
                ? moment == Moment.IN_ONE_PACKET_AFTER_THE_RESPONSE
                    ? List.of(body + body)
                    : List.of(body, body)
                : List.of(response(id));
    try (ScriptedServer server = new ScriptedServer(script)) {
      assertThat(send(server, "a")).isEqualTo("200 ok");
      TimeUnit.MILLISECONDS.sleep(120);
      assertThat(send(server, "c")).isEqualTo("200 ok-c");
      assertThat(server.connectionOf("c")).isEqualTo(2);
    }
  }

  /** Informational responses are no fault: the connection is kept. */
  @Test
  void keepsConnectionsOfInformationalResponses() throws Exception {
    ScriptedServer.Script script =
        (connection, id) -> List.of("HTTP/1.1 103 Early\r\nx-id: z\r\n\r\n", response(id));
    try (ScriptedServer server = new ScriptedServer(script)) {
      assertThat(send(server, "a")).isEqualTo("200 ok-a");
      assertThat(send(server, "c")).isEqualTo("200 ok-c");
      assertThat(server.connectionOf("c")).isEqualTo(1);
      assertThat(metrics.meter("server.faults").getCount()).isZero();
    }
  }

  /**
   * Guards against the body of the own response that is skipped as that of a response to a HEAD
   * request, which has none.
   */
  @Test
  void doesNotReadOnAfterTheResponseToAnEarlierHeadRequest() throws Exception {
    String head = "HTTP/1.1 200 OK\r\nx-id: a\r\nContent-Length: 7\r\n\r\n";
    ScriptedServer.Script script =
        (connection, id) ->
            id.equals("a")
                ? List.of(head)
                : id.equals("b") ? List.of(head + response(id)) : List.of(response(id));
    try (ScriptedServer server = new ScriptedServer(script)) {
      assertThat(send(server, HttpMethod.HEAD, "a", Unpooled.EMPTY_BUFFER)).isEqualTo("200 ");
      assertThat(send(server, "b")).isEqualTo("failed sent=true");
      assertThat(send(server, "c")).isEqualTo("200 ok-c");
    }
  }

  /** Guards against the body of another request's response that is parsed as a response itself. */
  @Test
  void doesNotReadOnAfterAnotherResponseWhileHeadIsRequested() throws Exception {
    String forged = "HTTP/1.1 503 No\r\nx-id: b\r\nContent-Length: 0\r\n\r\n";
    String stray =
        "HTTP/1.1 200 OK\r\nx-id: a\r\nContent-Length: " + forged.length() + "\r\n\r\n" + forged;
    ScriptedServer.Script script =
        (connection, id) -> List.of(id.equals("b") ? stray : response(id));
    try (ScriptedServer server = new ScriptedServer(script)) {
      assertThat(send(server, HttpMethod.HEAD, "b", Unpooled.EMPTY_BUFFER))
          .isEqualTo("failed sent=true");
      assertThat(send(server, "c")).isEqualTo("200 ok-c");
    }
  }

  /** Guards against an earlier response that is read as that of a request that names no id. */
  @Test
  void sendsRequestsWithoutIdOnConnectionsOfTheirOwn() throws Exception {
    String unnamed = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    ScriptedServer.Script script =
        (connection, id) -> List.of(id.isEmpty() ? unnamed : response(id));
    try (ScriptedServer server = new ScriptedServer(script)) {
      assertThat(send(server, "a")).isEqualTo("200 ok-a");
      assertThat(send(server, "")).isEqualTo("200 ok");
      assertThat(send(server, "")).isEqualTo("200 ok");
      assertThat(server.received.stream().map(ScriptedServer.Received::connection))
          .doesNotHaveDuplicates();
    }
  }

  /**
   * A refusal of this very request that comes while the request is still being written is true only
   * if the server never gets the rest of the request.
   */
  @Test
  void neverCompletesRequestsThatWereRefusedBeforeTheyWereWritten() throws Exception {
    String refusal = "HTTP/1.1 503 No\r\nx-id: %s\r\nContent-Length: 0\r\n\r\n";
    ScriptedServer.Script script =
        new ScriptedServer.Script() {
          @Override
          public List<String> beforeBody(int connection, String id) {
            return id.equals("b") ? List.of(String.format(refusal, id), "") : List.of();
          }

          @Override
          public List<String> answer(int connection, String id) {
            return List.of(response(id));
          }
        };
    try (ScriptedServer server = new ScriptedServer(script)) {
      ByteBuf body = Unpooled.wrappedBuffer(new byte[LONG_BODY_BYTES]);
      assertThat(send(server, HttpMethod.POST, "b", body)).isEqualTo(REFUSED + " ");
      assertThat(server.brokenBodies.poll(5, TimeUnit.SECONDS))
          .isNotNull()
          .isLessThan(LONG_BODY_BYTES);
      assertThat(send(server, "c")).isEqualTo("200 ok-c");
      assertThat(server.received).containsExactly(new ScriptedServer.Received(2, "c"));
    }
  }

  /** Guards against the refusal of another request before this one was written whole. */
  @Test
  void skipsTheRefusalOfAnotherRequestWhileTheRequestIsWritten() throws Exception {
    ScriptedServer.Script script =
        new ScriptedServer.Script() {
          @Override
          public List<String> beforeBody(int connection, String id) {
            return id.equals("b") ? List.of(Stray.REFUSAL_OF_EARLIER.bytes, "") : List.of();
          }

          @Override
          public List<String> answer(int connection, String id) {
            return List.of(response(id));
          }
        };
    try (ScriptedServer server = new ScriptedServer(script)) {
      ByteBuf body = Unpooled.wrappedBuffer(new byte[LONG_BODY_BYTES]);
      assertThat(send(server, HttpMethod.POST, "b", body)).isEqualTo("200 ok-b");
      assertThat(send(server, "c")).isEqualTo("200 ok-c");
      assertThat(server.connectionOf("c")).isEqualTo(2);
    }
  }

  private static String response(String id) {
    String body = "ok-" + id;
    return "HTTP/1.1 200 OK\r\nx-id: "
        + id
        + "\r\nContent-Length: "
        + body.length()
        + "\r\n\r\n"
        + body;
  }

  private String send(ScriptedServer server, String id) throws InterruptedException {
    return send(server, HttpMethod.GET, id, Unpooled.EMPTY_BUFFER);
  }

  private String send(ScriptedServer server, HttpMethod method, String id, ByteBuf body)
      throws InterruptedException {
    FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method, "/", body);
    if (!id.isEmpty()) {
      request.headers().set(CORRELATION_HEADER, id);
    }
    if (body.isReadable()) {
      HttpUtil.setContentLength(request, body.readableBytes());
    }
    group.execute(
        () ->
            client.send(
                new WireRequest(server.address(), request, CORRELATION_HEADER, 4, 1_000, 10_000),
                new Recorder()));
    return results.poll(10, TimeUnit.SECONDS);
  }

  private final class Recorder implements WireListener {

    private final List<String> parts = new ArrayList<>();

    @Override
    public void onHead(HttpResponse head) {
      parts.add(head.status().code() + " ");
    }

    @Override
    public void onContent(ByteBuf bytes) {
      parts.add(bytes.toString(StandardCharsets.US_ASCII));
    }

    @Override
    public void onEnd() {
      results.add(String.join("", parts));
    }

    @Override
    public void onFailure(boolean possiblySent, String reason) {
      results.add(String.join("", parts) + "failed sent=" + possiblySent);
    }
  }
}
