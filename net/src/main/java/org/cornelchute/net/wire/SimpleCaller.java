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
public final class SimpleCaller {

  private static final int MAX_CONNECTIONS = 16;
  private static final int CONNECT_MILLIS = 500;
  private static final long MAX_IDLE_MILLIS = 5_000;

  private final EventLoop loop;
  private final WireClient client;

  /** Creates a caller on the client's event loop. */
  public SimpleCaller(EventLoop loop, WireClient client) {
    this.loop = loop;
    this.client = client;
  }

  /** Makes a call; the answer comes on the event loop, exactly once. */
  public void call(SimpleCall call, Consumer<Either<Failure, Answer>> answer) {
    FullHttpRequest q =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1, call.method(), call.uri(), Unpooled.wrappedBuffer(call.body()));
    q.headers().set(HttpHeaderNames.HOST, call.address());
    if (call.body().length > 0) {
      HttpUtil.setContentLength(q, call.body().length);
      q.headers().set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON);
    }
    WireRequest request =
        new WireRequest(call.address(), q, "", MAX_CONNECTIONS, CONNECT_MILLIS, MAX_IDLE_MILLIS);
    Collector collector = new Collector(answer);
    WireExchange exchange = client.send(request, collector);
    collector.limit =
        loop.schedule(
            () -> {
              exchange.cancel();
              collector.failed(true, "no answer in " + call.limitMillis() + " ms");
            },
            call.limitMillis(),
            TimeUnit.MILLISECONDS);
    if (collector.done) {
      collector.limit.cancel(false);
    }
  }

  /**
   * A whole answer.
   *
   * @param status HTTP status
   * @param body bytes, never null
   */
  public record Answer(int status, byte[] body) {}

  private static final class Collector implements WireListener {

    private final Consumer<Either<Failure, Answer>> answer;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private int status;
    private boolean done;
    private ScheduledFuture<?> limit;

    Collector(Consumer<Either<Failure, Answer>> answer) {
      this.answer = answer;
    }

    @Override
    public void head(HttpResponse head) {
      status = head.status().code();
    }

    @Override
    public void content(ByteBuf bytes) {
      byte[] part = new byte[bytes.readableBytes()];
      bytes.readBytes(part);
      body.write(part, 0, part.length);
    }

    @Override
    public void end() {
      finish(Either.right(new Answer(status, body.toByteArray())));
    }

    @Override
    public void failed(boolean sent, String reason) {
      finish(Either.left(sent ? Failure.unknown(reason) : Failure.unavailable(reason)));
    }

    private void finish(Either<Failure, Answer> result) {
      if (done) {
        return;
      }
      done = true;
      if (limit != null) {
        limit.cancel(false);
      }
      answer.accept(result);
    }
  }
}
