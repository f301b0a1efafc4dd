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
  private static final long IDLE_MARGIN_MILLIS = 300;
  private static final String TIMEOUT_PARAMETER = "timeout=";

  private final WirePool pool;
  private Channel channel;
  private WireExchange exchange;
  private int served;
  private boolean headSeen;
  private boolean skipping;
  private boolean reusable;
  private boolean endsWithConnection;
  private boolean written;
  private long idleSince;
  private long idleLimit = Long.MAX_VALUE;

  WireConnection(WirePool pool) {
    this.pool = pool;
  }

  @Override
  public void handlerAdded(ChannelHandlerContext ctx) {
    channel = ctx.channel();
  }

  /** Sends a request; the connection must be open and idle. */
  void start(WireExchange next) {
    exchange = next;
    headSeen = false;
    skipping = false;
    reusable = false;
    written = false;
    next.begin(this);
    channel
        .writeAndFlush(next.request.message())
        .addListener(
            f -> {
              if (f.isSuccess()) {
                written = true;
              } else {
                fail("write failed");
              }
            });
  }

  boolean isUsable(long now, long maxIdleMillis) {
    long limit = Math.min(maxIdleMillis, idleLimit);
    return channel.isActive() && now - idleSince <= limit;
  }

  void idle(long now) {
    idleSince = now;
  }

  /** Closes the connection; whatever it carries is over. */
  void drop() {
    exchange = null;
    channel.close();
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    try {
      if (exchange == null) {
        drop();
        return;
      }
      HttpObject part = (HttpObject) message;
      if (part.decoderResult().isFailure()) {
        fail("answer is not HTTP");
        return;
      }
      if (part instanceof HttpResponse r) {
        head(r);
      }
      if (exchange != null && part instanceof HttpContent c) {
        content(c);
      }
    } finally {
      ReferenceCountUtil.release(message);
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    fail("connection broke: " + cause.getMessage());
    ctx.close();
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    pool.closed(this);
    fail("connection closed");
  }

  private void head(HttpResponse r) {
    boolean informational = r.status().codeClass() == HttpStatusClass.INFORMATIONAL;
    String identity = exchange.identity == null ? null : r.headers().get(exchange.request.echo());
    boolean foreign = identity != null && !identity.equals(exchange.identity);
    if (informational || foreign) {
      skipping = true;
      return;
    }
    if (exchange.identity != null && identity == null && served > 0) {
      // On a connection that was used before, an answer without identity may be an earlier one's.
      fail("answer without identity on a used connection");
      return;
    }
    headSeen = true;
    int status = r.status().code();
    boolean bodiless =
        status == NO_CONTENT
            || status == NOT_MODIFIED
            || exchange.request.message().method() == HttpMethod.HEAD;
    endsWithConnection =
        !bodiless && !HttpUtil.isContentLengthSet(r) && !HttpUtil.isTransferEncodingChunked(r);
    reusable = HttpUtil.isKeepAlive(r) && !endsWithConnection;
    String kept = r.headers().get(KEEP_ALIVE);
    if (kept != null) {
      idleLimit = parseIdleLimit(kept);
    }
    exchange.listener().head(r);
  }

  private void content(HttpContent c) {
    boolean last = c instanceof LastHttpContent;
    if (skipping) {
      skipping = !last;
      return;
    }
    if (!headSeen) {
      return;
    }
    if (c.content().isReadable()) {
      exchange.listener().content(c.content());
    }
    if (last && exchange != null) {
      finish();
    }
  }

  private void finish() {
    WireExchange done = exchange;
    exchange = null;
    served++;
    if (reusable && written && !done.isEnded()) {
      pool.idle(this);
    } else {
      channel.close();
    }
    done.end();
  }

  private void fail(String reason) {
    WireExchange broken = exchange;
    exchange = null;
    if (broken != null) {
      channel.close();
      broken.fail(reason);
    }
  }

  private static long parseIdleLimit(String keepAlive) {
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
    return Math.max(0, TimeUnit.SECONDS.toMillis(seconds) - IDLE_MARGIN_MILLIS);
  }
}
