package org.cornelchute.net.wire;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.concurrent.TimeUnit;

/**
 * One connection that carries one exchange at a time.
 *
 * <p>An answer that repeats another identity than the request's belongs to an earlier exchange and
 * is passed over; bytes that come while nothing is asked end the connection.
 */
final class WireConnection extends ChannelInboundHandlerAdapter {

  private static final String KEEP_ALIVE = "Keep-Alive";
  private static final int NO_CONTENT = 204;
  private static final int NOT_MODIFIED = 304;
  private static final long IDLE_SAFETY_MARGIN_MILLIS = 300;
  private static final String TIMEOUT_PARAMETER = "timeout=";

  private final WirePool pool;
  private Channel channel;
  private WireExchange exchange;
  private int completedExchanges;
  private boolean headReceived;
  private boolean skippingResponse;
  private boolean reusable;
  private boolean endsOnClose;
  private boolean requestWritten;
  private long idleSinceMillis;
  private long serverIdleLimitMillis = Long.MAX_VALUE;

  WireConnection(WirePool pool) {
    this.pool = pool;
  }

  @Override
  public void handlerAdded(ChannelHandlerContext ctx) {
    channel = ctx.channel();
  }

  /** Sends a request; the connection must be open and idle. */
  void send(WireExchange next) {
    exchange = next;
    headReceived = false;
    skippingResponse = false;
    reusable = false;
    requestWritten = false;
    next.onSend(this);
    channel
        .writeAndFlush(next.request.message())
        .addListener(
            f -> {
              if (f.isSuccess()) {
                requestWritten = true;
              } else {
                failExchange("write failed");
              }
            });
  }

  boolean isUsable(long now, long maxIdleMillis) {
    long limit = Math.min(maxIdleMillis, serverIdleLimitMillis);
    return channel.isActive() && now - idleSinceMillis <= limit;
  }

  void markIdle(long now) {
    idleSinceMillis = now;
  }

  /** Closes the connection; whatever it carries is over. */
  void close() {
    exchange = null;
    channel.close();
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    try {
      if (exchange == null) {
        close();
        return;
      }
      HttpObject part = (HttpObject) message;
      if (part.decoderResult().isFailure()) {
        failExchange("answer is not HTTP");
        return;
      }
      if (part instanceof HttpResponse r) {
        handleHead(r);
      }
      if (exchange != null && part instanceof HttpContent c) {
        handleContent(c);
      }
    } finally {
      ReferenceCountUtil.release(message);
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    failExchange("connection broke: " + cause.getMessage());
    ctx.close();
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    pool.onClosed(this);
    failExchange("connection closed");
  }

  private void handleHead(HttpResponse r) {
    boolean informational = r.status().codeClass() == HttpStatusClass.INFORMATIONAL;
    String identity =
        exchange.correlationId == null
            ? null
            : r.headers().get(exchange.request.correlationHeader());
    boolean foreign = identity != null && !identity.equals(exchange.correlationId);
    if (informational || foreign) {
      skippingResponse = true;
      return;
    }
    if (exchange.correlationId != null && identity == null && completedExchanges > 0) {
      // On a connection that was used before, an answer without identity may be an earlier one's.
      failExchange("answer without identity on a used connection");
      return;
    }
    headReceived = true;
    int status = r.status().code();
    boolean bodiless =
        status == NO_CONTENT
            || status == NOT_MODIFIED
            || exchange.request.message().method() == HttpMethod.HEAD;
    endsOnClose =
        !bodiless && !HttpUtil.isContentLengthSet(r) && !HttpUtil.isTransferEncodingChunked(r);
    reusable = HttpUtil.isKeepAlive(r) && !endsOnClose;
    String kept = r.headers().get(KEEP_ALIVE);
    if (kept != null) {
      serverIdleLimitMillis = parseIdleLimitMillis(kept);
    }
    exchange.listener().onHead(r);
  }

  private void handleContent(HttpContent c) {
    boolean last = c instanceof LastHttpContent;
    if (skippingResponse) {
      skippingResponse = !last;
      return;
    }
    if (!headReceived) {
      return;
    }
    if (c.content().isReadable()) {
      exchange.listener().onContent(c.content());
    }
    if (last && exchange != null) {
      completeExchange();
    }
  }

  private void completeExchange() {
    WireExchange done = exchange;
    exchange = null;
    completedExchanges++;
    if (reusable && requestWritten && !done.isEnded()) {
      pool.idle(this);
    } else {
      channel.close();
    }
    done.complete();
  }

  private void failExchange(String reason) {
    WireExchange broken = exchange;
    exchange = null;
    if (broken != null) {
      channel.close();
      broken.fail(reason);
    }
  }

  private static long parseIdleLimitMillis(String keepAlive) {
    int at = keepAlive.indexOf(TIMEOUT_PARAMETER);
    if (at < 0) {
      return Long.MAX_VALUE;
    }
    long seconds = 0;
    for (int i = at + TIMEOUT_PARAMETER.length(); i < keepAlive.length(); i++) {
      char digit = keepAlive.charAt(i);
      if (digit < '0' || digit > '9') {
        break;
      }
      seconds = Math.min(seconds * 10 + digit - '0', Integer.MAX_VALUE);
    }
    return Math.max(0, TimeUnit.SECONDS.toMillis(seconds) - IDLE_SAFETY_MARGIN_MILLIS);
  }
}
