package org.cornelchute.entry.direct;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Requests that a caller sends on its connection while an earlier one is in progress. */
class PipelinedRequestTest {

  private static final String REQUEST = "GET /c/ HTTP/1.1\r\nHost: h\r\nx-id: a\r\n\r\n";
  private static final int MAX_BODY_BYTES = 10;

  private final ManualListener listener = new ManualListener();
  private final EmbeddedChannel channel =
      new EmbeddedChannel(new HttpServerCodec(), new CallerConnection(listener));

  private void send(String text) {
    channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII));
  }

  /** Returns the statuses of the responses that were sent. */
  private List<Integer> receive() {
    StringBuilder text = new StringBuilder();
    for (ByteBuf part = channel.readOutbound(); part != null; part = channel.readOutbound()) {
      text.append(part.toString(StandardCharsets.US_ASCII));
      part.release();
    }
    return text.toString()
        .lines()
        .filter(line -> line.startsWith("HTTP/1.1 "))
        .map(line -> Integer.parseInt(line.split(" ")[1]))
        .toList();
  }

  /** Failure: a request that was read during a drain was dropped with its connection. */
  @Test
  void answersRequestThatWasReadBeforeTheConnectionCloses() {
    send(REQUEST + REQUEST);
    listener.draining = true;
    listener.answer();
    listener.answer();
    assertThat(receive()).containsExactly(200, 200);
    assertThat(channel.isOpen()).isFalse();
  }

  /** Failure: a call that an endpoint worked on ended without response because of the next one. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "not a request\r\n\r\n",
        "GET /c/ HTTP/1.1\r\nno header\r\n\r\n",
        "POST /c/ HTTP/1.1\r\nHost: h\r\nContent-Length: 11\r\n\r\n12345678901",
      })
  void answersCallBeforeMalformedRequest(String malformed) {
    send(REQUEST + malformed);
    assertThat(channel.isOpen()).isTrue();
    listener.answer();
    List<Integer> statuses = receive();
    assertThat(statuses).hasSize(2);
    assertThat(statuses.get(0)).isEqualTo(200);
    assertThat(listener.malformed).containsExactly(statuses.get(1));
    assertThat(statuses.get(1)).isBetween(400, 431);
    assertThat(channel.isOpen()).isFalse();
  }

  /** Failure: as above, because of too many requests. */
  @Test
  void answersCallsBeforeTooManyRequests() {
    send(REQUEST.repeat(20));
    int answered = 0;
    while (listener.current != null) {
      listener.answer();
      answered++;
    }
    List<Integer> statuses = receive();
    assertThat(answered).isPositive();
    assertThat(statuses).hasSize(answered + 1);
    assertThat(statuses.subList(0, answered)).containsOnly(200);
    assertThat(statuses.get(answered)).isEqualTo(503);
    assertThat(channel.isOpen()).isFalse();
  }

  /** Failure: a request that was read during a drain got no rejection, as too many came with it. */
  @Test
  void rejectsTheOneTooManyDuringDrain() {
    send(REQUEST.repeat(20));
    listener.draining = true;
    int answered = 0;
    while (listener.current != null) {
      listener.answer();
      answered++;
    }
    List<Integer> statuses = receive();
    assertThat(statuses).hasSize(answered + 1).endsWith(503);
    assertThat(channel.isOpen()).isFalse();
  }

  /** Failure: a call ended without response, as the entry failed to read what followed it. */
  @Test
  void answersCallBeforeInternalFailure() {
    send(REQUEST);
    channel.pipeline().fireExceptionCaught(new IllegalStateException("for the test"));
    assertThat(channel.isOpen()).isTrue();
    listener.answer();
    assertThat(receive()).containsExactly(200, 503);
    assertThat(channel.isOpen()).isFalse();
  }

  /** Failure: a caller waited on an open connection for a response that could not be encoded. */
  @Test
  void closesConnectionWhoseResponseCannotBeWritten() {
    channel
        .pipeline()
        .addFirst(
            new ChannelOutboundHandlerAdapter() {
              @Override
              public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
                ReferenceCountUtil.release(message);
                promise.setFailure(new IllegalStateException("for the test"));
              }
            });
    send(REQUEST);
    listener.answer();
    assertThat(channel.isOpen()).isFalse();
  }

  /** Keeps each call open until the test answers it. */
  private static final class ManualListener implements CallerConnection.Listener {

    private final List<Integer> malformed = new ArrayList<>();
    private OpenCall current;
    private long lastNumber;
    private boolean draining;

    void answer() {
      OpenCall answered = current;
      current = null;
      answered.release();
      answered.callerConnection.writeResponse(
          new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK));
    }

    @Override
    public long currentMillis() {
      return 0;
    }

    @Override
    public int maxBodyBytes() {
      return MAX_BODY_BYTES;
    }

    @Override
    public boolean allowsKeepAlive() {
      return !draining;
    }

    @Override
    public void onConnectionOpened(CallerConnection connection) {}

    @Override
    public void onConnectionClosed(CallerConnection connection) {}

    @Override
    public void onRequest(CallerConnection connection, FullHttpRequest request) {
      current = new OpenCall(++lastNumber, connection, request, -1, new ResponseBudget(0), 0);
      connection.setCurrentCall(current);
    }

    @Override
    public void onRequestRead() {}

    @Override
    public void onRequestDropped(HttpHeaders headers, String closeReason) {}

    @Override
    public void onDisconnect(OpenCall call, String closeReason) {
      call.release();
      current = null;
    }

    @Override
    public void onWritabilityChanged(OpenCall call) {}

    @Override
    public void onRequestRejected(HttpHeaders headers, int status, boolean wasRead) {
      malformed.add(status);
    }
  }
}
