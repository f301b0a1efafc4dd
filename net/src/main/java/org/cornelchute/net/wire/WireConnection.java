package org.cornelchute.net.wire;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A connection that carries one exchange at a time.
 *
 * <p>A response whose correlation header differs from the request's belongs to another exchange. It
 * is skipped, as are informational (1xx) responses, up to a number of bytes, and the connection is
 * closed after the response that follows. A response that names no request, or several, fails the
 * exchange even if it is the first one on the connection: nothing shows that the server had read
 * the request, and the server may still run it. Bytes that arrive while no exchange is in progress,
 * or after the end of a response, close the connection, as does a response that is complete before
 * its request was written.
 *
 * <p>A head that is not valid HTTP, or whose status is invalid, fails the exchange as a lost
 * response; see {@link CheckedResponseDecoder}.
 *
 * <p>A response without a length whose connection closes right after its head fails the exchange:
 * nothing tells it from one whose server stopped there, and an empty body can be stated.
 */
final class WireConnection extends ChannelInboundHandlerAdapter {

  private static final Logger LOG = LoggerFactory.getLogger(WireConnection.class);
  private static final String KEEP_ALIVE = "Keep-Alive";
  private static final int NO_CONTENT = 204;
  private static final int NOT_MODIFIED = 304;

  /**
   * Time by which a connection expires before the idle timeout announced by the server, so that no
   * request is sent while the server closes the connection.
   */
  private static final long IDLE_SAFETY_MARGIN_MILLIS = 300;

  private static final String TIMEOUT_PARAMETER = "timeout=";

  /**
   * Maximum number of bytes of an exchange before the head of its response. More than a head
   * because responses to earlier exchanges may come first.
   */
  private static final long MAX_BYTES_BEFORE_HEAD = 1_048_576;

  private final WirePool pool;
  private final ServerFaults faults;
  private final String address;
  private final ResponseDecoder decoder = new ResponseDecoder(this);
  private Channel channel;
  private WireExchange exchange;
  private boolean headReceived;

  /** Whether only the close of the connection ends the response, of which no content came yet. */
  private boolean contentMissing;

  private boolean skippingResponse;
  private boolean receivedOtherResponse;
  private boolean carriedHeadRequest;
  private boolean reusable;
  private boolean requestWritten;
  private boolean closing;
  private long bytesBeforeHead;
  private long idleSinceMillis;
  private long serverIdleLimitMillis = Long.MAX_VALUE;

  WireConnection(WirePool pool, ServerFaults faults, String address) {
    this.pool = pool;
    this.faults = faults;
    this.address = address;
  }

  @Override
  public void handlerAdded(ChannelHandlerContext ctx) {
    channel = ctx.channel();
  }

  /** Returns the decoder of this connection, which precedes it in the pipeline. */
  ResponseDecoder decoder() {
    return decoder;
  }

  boolean hasExchange() {
    return exchange != null;
  }

  boolean isHeadRequest() {
    return exchange != null && exchange.request.message().method() == HttpMethod.HEAD;
  }

  /** Sends a request; the connection must be open and idle. */
  void send(WireExchange next) {
    exchange = next;
    headReceived = false;
    contentMissing = false;
    skippingResponse = false;
    receivedOtherResponse = false;
    carriedHeadRequest |= isHeadRequest();
    reusable = false;
    requestWritten = false;
    bytesBeforeHead = 0;
    next.onSend(this);
    channel
        .writeAndFlush(next.request.message())
        .addListener(
            future -> {
              if (future.isSuccess()) {
                requestWritten = true;
              } else {
                failExchange("request could not be written to the connection");
              }
            });
  }

  boolean isOpen() {
    return channel.isActive();
  }

  boolean isUsable(long now, long maxIdleMillis) {
    long limit = Math.min(maxIdleMillis, serverIdleLimitMillis);
    return channel.isActive() && now - idleSinceMillis <= limit;
  }

  void markIdle(long now) {
    idleSinceMillis = now;
  }

  /** Closes the connection and abandons its exchange without notifying the listener. */
  void close() {
    exchange = null;
    closeChannel();
  }

  /**
   * Closes the connection, whose exchange is cancelled. If no response has begun, it is reset:
   * after an orderly close, the kernel would still deliver what is left of the request, and the
   * server would run it.
   */
  void cancel() {
    if (exchange != null && !headReceived && channel.isActive()) {
      channel.config().setOption(ChannelOption.SO_LINGER, 0);
    }
    close();
  }

  /**
   * Closes the connection, whose exchange has timed out. If no response has begun, the idle
   * connections to the address are closed too, since they may be dead without a reset as well.
   */
  void closeOnTimeout() {
    boolean silent = exchange != null && !headReceived;
    close();
    if (silent) {
      pool.closeIdle();
    }
  }

  void setReading(boolean reading) {
    channel.config().setAutoRead(reading);
  }

  /** Reports what the server sent as a fault, closes the connection and fails the exchange. */
  void rejectResponse(String reason) {
    faults.report(address, reason);
    failExchange(reason);
  }

  /**
   * Handles received bytes after the decoder.
   *
   * @param solicited whether an exchange was in progress when they arrived
   */
  void onBytesReceived(int size, boolean solicited) {
    if (!solicited) {
      handleUnsolicitedBytes();
      return;
    }
    if (exchange == null || headReceived) {
      return;
    }
    bytesBeforeHead += size;
    if (bytesBeforeHead > MAX_BYTES_BEFORE_HEAD) {
      rejectResponse("no response within " + MAX_BYTES_BEFORE_HEAD + " bytes");
    }
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    try {
      if (exchange == null) {
        handleUnsolicitedBytes();
        return;
      }
      HttpObject part = (HttpObject) message;
      if (part.decoderResult().isFailure()) {
        rejectResponse(
            "response is not valid HTTP: "
                + part.decoderResult().cause().getClass().getSimpleName());
        return;
      }
      if (part instanceof HttpResponse response) {
        handleHead(response);
      }
      if (exchange != null && part instanceof HttpContent content) {
        handleContent(content);
      }
    } finally {
      ReferenceCountUtil.release(message);
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    if (!(cause instanceof IOException)) {
      LOG.error("closing a connection to {}, internal failure", address, cause);
    }
    failExchange("connection failed: " + cause.getMessage());
    ctx.close();
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    pool.onClosed(this);
    failExchange("connection closed before the response was complete");
  }

  private void handleUnsolicitedBytes() {
    if (!closing) {
      faults.report(address, "bytes that belong to no request");
      close();
    }
  }

  private void handleHead(HttpResponse response) {
    if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
      skippingResponse = true;
      return;
    }
    WireExchange.Origin origin = exchange.originOf(response);
    if (origin == WireExchange.Origin.THIS_REQUEST) {
      acceptHead(response);
    } else if (origin == WireExchange.Origin.OTHER_REQUEST) {
      skipOtherResponse(response);
    } else {
      rejectResponse("response without the correlation header of one request");
    }
  }

  /**
   * Skips a response to another request, unless its end, where the response to this one would
   * begin, cannot be found.
   */
  private void skipOtherResponse(HttpResponse response) {
    if (carriedHeadRequest || endsOnClose(response)) {
      rejectResponse("response to another request, of unknown length");
      return;
    }
    skippingResponse = true;
    receivedOtherResponse = true;
  }

  private void acceptHead(HttpResponse response) {
    headReceived = true;
    contentMissing = endsOnClose(response);
    reusable =
        HttpUtil.isKeepAlive(exchange.request.message())
            && HttpUtil.isKeepAlive(response)
            && exchange.isCorrelated()
            && !endsOnClose(response);
    String keepAlive = response.headers().get(KEEP_ALIVE);
    if (keepAlive != null) {
      serverIdleLimitMillis = parseIdleLimitMillis(keepAlive);
    }
    exchange.listener().onHead(response);
  }

  private boolean endsOnClose(HttpResponse response) {
    int status = response.status().code();
    boolean withoutBody = status == NO_CONTENT || status == NOT_MODIFIED || isHeadRequest();
    return !withoutBody
        && !HttpUtil.isContentLengthSet(response)
        && !HttpUtil.isTransferEncodingChunked(response);
  }

  private void handleContent(HttpContent content) {
    boolean last = content instanceof LastHttpContent;
    if (skippingResponse) {
      skippingResponse = !last;
      return;
    }
    if (!headReceived) {
      return;
    }
    if (content.content().isReadable()) {
      contentMissing = false;
      exchange.listener().onContent(content.content());
    }
    if (last && exchange != null) {
      if (contentMissing) {
        failExchange("connection closed right after the head of the response");
      } else {
        completeExchange();
      }
    }
  }

  private void completeExchange() {
    WireExchange completed = exchange;
    exchange = null;
    if (receivedOtherResponse) {
      faults.report(address, "response to another request");
      closeChannel();
    } else if (reusable && decoder.hasUndecodedBytes()) {
      handleUnsolicitedBytes();
    } else if (reusable && requestWritten && !completed.isEnded()) {
      setReading(true);
      pool.release(this);
    } else {
      closeChannel();
    }
    completed.complete();
  }

  private void failExchange(String reason) {
    WireExchange failed = exchange;
    exchange = null;
    if (failed != null) {
      closeChannel();
      failed.fail(reason);
    }
  }

  private void closeChannel() {
    closing = true;
    channel.close();
  }

  private static long parseIdleLimitMillis(String keepAlive) {
    int start = keepAlive.indexOf(TIMEOUT_PARAMETER);
    if (start < 0) {
      return Long.MAX_VALUE;
    }
    long seconds = 0;
    for (int i = start + TIMEOUT_PARAMETER.length(); i < keepAlive.length(); i++) {
      char digit = keepAlive.charAt(i);
      if (digit < '0' || digit > '9') {
        break;
      }
      seconds = Math.min(seconds * 10 + digit - '0', Integer.MAX_VALUE);
    }
    return Math.max(0, TimeUnit.SECONDS.toMillis(seconds) - IDLE_SAFETY_MARGIN_MILLIS);
  }
}
