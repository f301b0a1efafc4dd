package org.cornelchute.net.wire;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.ScheduledFuture;
import io.vavr.control.Either;
import java.io.ByteArrayOutputStream;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.cornelchute.core.outcome.Failure;

/** Sends requests with small responses, which it buffers in memory, with a timeout for each. */
public final class SimpleHttpClient {

  private static final int DEFAULT_MAX_CONNECTIONS = 16;
  private static final int CONNECT_TIMEOUT_MILLIS = 500;
  private static final long MAX_IDLE_MILLIS = 5_000;

  private final EventLoop loop;
  private final WireClient wireClient;
  private final int maxConnections;

  /**
   * Creates a client that shares the connections of {@code wireClient} and runs on its event loop.
   */
  public SimpleHttpClient(EventLoop loop, WireClient wireClient) {
    this(loop, wireClient, DEFAULT_MAX_CONNECTIONS);
  }

  /**
   * Creates a client that shares the connections of {@code wireClient} and runs on its event loop.
   *
   * @param maxConnections maximum number of open connections to an address
   */
  public SimpleHttpClient(EventLoop loop, WireClient wireClient, int maxConnections) {
    this.loop = loop;
    this.wireClient = wireClient;
    this.maxConnections = maxConnections;
  }

  /**
   * Sends a request and passes the result to a callback on the event loop, exactly once.
   *
   * <p>The result is {@link Failure.Code#UNAVAILABLE} if the request was certainly not sent, and
   * {@link Failure.Code#UNKNOWN} if it may have been, the timeout expired or the response body is
   * larger than the request permits.
   */
  public void send(SimpleHttpRequest request, Consumer<Either<Failure, Response>> callback) {
    FullHttpRequest message =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1,
            request.method(),
            request.uri(),
            Unpooled.wrappedBuffer(request.body()));
    message.headers().set(HttpHeaderNames.HOST, request.address());
    if (request.body().length > 0) {
      HttpUtil.setContentLength(message, request.body().length);
      message.headers().set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON);
    }
    if (!request.keepAlive()) {
      message.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    }
    WireRequest wireRequest =
        new WireRequest(
            request.address(),
            message,
            "",
            maxConnections,
            CONNECT_TIMEOUT_MILLIS,
            MAX_IDLE_MILLIS);
    ResponseCollector collector = new ResponseCollector(request.maxBodyBytes(), callback);
    WireExchange exchange = wireClient.send(wireRequest, collector);
    collector.exchange = exchange;
    collector.timeout =
        loop.schedule(
            () -> {
              exchange.cancelOnTimeout();
              collector.onFailure(
                  true, "no complete response within " + request.timeoutMillis() + " ms");
            },
            request.timeoutMillis(),
            TimeUnit.MILLISECONDS);
    // A request that failed within send() has ended before the timeout was scheduled.
    if (collector.done) {
      collector.timeout.cancel(false);
    }
  }

  /**
   * A complete response.
   *
   * @param status HTTP status
   * @param headers response headers, never null
   * @param body response body, never null
   */
  public record Response(int status, HttpHeaders headers, byte[] body) {}

  private static final class ResponseCollector implements WireListener {

    private final int maxBodyBytes;
    private final Consumer<Either<Failure, Response>> callback;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private int status;
    private HttpHeaders headers = EmptyHttpHeaders.INSTANCE;
    private boolean done;
    private WireExchange exchange;
    private ScheduledFuture<?> timeout;

    ResponseCollector(int maxBodyBytes, Consumer<Either<Failure, Response>> callback) {
      this.maxBodyBytes = maxBodyBytes;
      this.callback = callback;
    }

    @Override
    public void onHead(HttpResponse head) {
      status = head.status().code();
      headers = head.headers();
    }

    @Override
    public void onContent(ByteBuf bytes) {
      if (bytes.readableBytes() > maxBodyBytes - body.size()) {
        exchange.reject("response body exceeds " + maxBodyBytes + " bytes");
        return;
      }
      byte[] part = new byte[bytes.readableBytes()];
      bytes.readBytes(part);
      body.write(part, 0, part.length);
    }

    @Override
    public void onEnd() {
      complete(Either.right(new Response(status, headers, body.toByteArray())));
    }

    @Override
    public void onFailure(boolean possiblySent, String reason) {
      complete(Either.left(possiblySent ? Failure.unknown(reason) : Failure.unavailable(reason)));
    }

    private void complete(Either<Failure, Response> result) {
      if (done) {
        return;
      }
      done = true;
      if (timeout != null) {
        timeout.cancel(false);
      }
      callback.accept(result);
    }
  }
}
