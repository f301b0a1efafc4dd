package org.cornelchute.net.wire;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.ScheduledFuture;
import io.vavr.control.Either;
import java.io.ByteArrayOutputStream;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.cornelchute.core.outcome.Failure;

/** Makes calls whose answers are small and read whole, each within its time. */
public final class SimpleHttpClient {

  private static final int MAX_CONNECTIONS = 16;
  private static final int CONNECT_TIMEOUT_MILLIS = 500;
  private static final long MAX_IDLE_MILLIS = 5_000;

  private final EventLoop loop;
  private final WireClient client;

  /** Creates a caller on the client's event loop. */
  public SimpleHttpClient(EventLoop loop, WireClient client) {
    this.loop = loop;
    this.client = client;
  }

  /** Makes a call; the answer comes on the event loop, exactly once. */
  public void send(SimpleHttpRequest call, Consumer<Either<Failure, Response>> answer) {
    FullHttpRequest q =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1, call.method(), call.uri(), Unpooled.wrappedBuffer(call.body()));
    q.headers().set(HttpHeaderNames.HOST, call.address());
    if (call.body().length > 0) {
      HttpUtil.setContentLength(q, call.body().length);
      q.headers().set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON);
    }
    WireRequest request =
        new WireRequest(
            call.address(), q, "", MAX_CONNECTIONS, CONNECT_TIMEOUT_MILLIS, MAX_IDLE_MILLIS);
    ResponseCollector collector = new ResponseCollector(answer);
    WireExchange exchange = client.send(request, collector);
    collector.timeout =
        loop.schedule(
            () -> {
              exchange.cancel();
              collector.onFailure(true, "no answer in " + call.timeoutMillis() + " ms");
            },
            call.timeoutMillis(),
            TimeUnit.MILLISECONDS);
    if (collector.done) {
      collector.timeout.cancel(false);
    }
  }

  /**
   * A whole answer.
   *
   * @param status HTTP status
   * @param body bytes, never null
   */
  public record Response(int status, byte[] body) {}

  private static final class ResponseCollector implements WireListener {

    private final Consumer<Either<Failure, Response>> answer;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private int status;
    private boolean done;
    private ScheduledFuture<?> timeout;

    ResponseCollector(Consumer<Either<Failure, Response>> answer) {
      this.answer = answer;
    }

    @Override
    public void onHead(HttpResponse head) {
      status = head.status().code();
    }

    @Override
    public void onContent(ByteBuf bytes) {
      byte[] part = new byte[bytes.readableBytes()];
      bytes.readBytes(part);
      body.write(part, 0, part.length);
    }

    @Override
    public void onEnd() {
      finish(Either.right(new Response(status, body.toByteArray())));
    }

    @Override
    public void onFailure(boolean sent, String reason) {
      finish(Either.left(sent ? Failure.unknown(reason) : Failure.unavailable(reason)));
    }

    private void finish(Either<Failure, Response> result) {
      if (done) {
        return;
      }
      done = true;
      if (timeout != null) {
        timeout.cancel(false);
      }
      answer.accept(result);
    }
  }
}
